package systemtest

import (
	"net"
	"sync"
	"testing"

	"github.com/lovageglade/lovageglade/internal/settings"
)

// tcpProxy forwards connections from an address that others use to the one that a process listens on. It can drop or
// delay the data of connections that are already open, while new connections work.
type tcpProxy struct {
	listener    net.Listener
	target      string
	mu          sync.Mutex
	connections []*proxiedConnection
}

// proxiedConnection is one TCP connection through a proxy.
type proxiedConnection struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
	paused         chan struct{} // closed when forwarding resumes; nil if forwarding was never paused
}

func newTCPProxy(t testing.TB, address, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: listener, target: target}
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		p.closeConnections()
	})
	return p
}

func (p *tcpProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &proxiedConnection{client: client, server: server}
		p.mu.Lock()
		p.connections = append(p.connections, c)
		p.mu.Unlock()
		go c.copy(client, server)
		go c.copy(server, client)
	}
}

// copy forwards one direction. A silent connection drops all data and closes neither side.
func (c *proxiedConnection) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent, paused := c.silent, c.paused
		c.mu.Unlock()
		if paused != nil {
			<-paused
		}
		if silent && err == nil {
			continue
		}
		if !silent {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silent {
		_ = to.Close()
	}
}

// silence makes every open connection silent permanently.
func (p *tcpProxy) silence() {
	p.each(func(c *proxiedConnection) {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	})
}

// pause stops forwarding on the open connections until resume is called. No data is lost.
func (p *tcpProxy) pause() (resume func()) {
	paused := make(chan struct{})
	p.each(func(c *proxiedConnection) {
		c.mu.Lock()
		c.paused = paused
		c.mu.Unlock()
	})
	return func() { close(paused) }
}

// closeConnections closes all open connections.
func (p *tcpProxy) closeConnections() {
	p.each(func(c *proxiedConnection) {
		_ = c.client.Close()
		_ = c.server.Close()
	})
}

func (p *tcpProxy) each(act func(*proxiedConnection)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		act(c)
	}
}

// listenBehindProxy makes an agent listen behind two proxies, one at its data and one at its control address.
func (c *cluster) listenBehindProxy(agentSettings *settings.Agent) {
	c.t.Helper()
	agentSettings.ListenData = agentSettings.BackendAddress[:len(agentSettings.BackendAddress)-4] + "7011"
	agentSettings.ListenControl = agentSettings.BackendAddress[:len(agentSettings.BackendAddress)-4] + "7012"
	host := agentSettings.Host
	c.proxies[host.ID] = []*tcpProxy{
		newTCPProxy(c.t, host.DataAddress, agentSettings.ListenData),
		newTCPProxy(c.t, host.ControlAddress, agentSettings.ListenControl),
	}
}
