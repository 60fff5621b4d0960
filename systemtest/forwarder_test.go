package systemtest

import (
	"net"
	"sync"
	"testing"

	"github.com/lovageglade/lovageglade/internal/settings"
)

// forwarder stands between an address that others reach and the one that a process listens on. It can lose track of
// the connections that are open, which stay open and silent, or hold back what they carry, while new ones work.
type forwarder struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	links    []*link
}

// link is one forwarded connection.
type link struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
	held      chan struct{} // closed when what is held back goes on its way, nil for nothing held back
}

func newForwarder(t testing.TB, address, target string) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{listener: listener, target: target}
	go f.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		f.cut()
	})
	return f
}

func (f *forwarder) accept() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l := &link{near: near, far: far}
		f.mu.Lock()
		f.links = append(f.links, l)
		f.mu.Unlock()
		go l.copy(near, far)
		go l.copy(far, near)
	}
}

// copy forwards one direction. A silent link swallows what still comes, and closes nothing.
func (l *link) copy(into, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent, held := l.silent, l.held
		l.mu.Unlock()
		if held != nil {
			<-held
		}
		if silent && err == nil {
			continue
		}
		if !silent {
			_, _ = into.Write(buffer[:n])
		}
		if err != nil {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.silent {
		_ = into.Close()
	}
}

// silence makes every open connection silent for good.
func (f *forwarder) silence() {
	f.each(func(l *link) {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	})
}

// hold holds back what the open connections carry until the release.
func (f *forwarder) hold() (release func()) {
	held := make(chan struct{})
	f.each(func(l *link) {
		l.mu.Lock()
		l.held = held
		l.mu.Unlock()
	})
	return func() { close(held) }
}

// cut closes every open connection.
func (f *forwarder) cut() {
	f.each(func(l *link) {
		_ = l.near.Close()
		_ = l.far.Close()
	})
}

func (f *forwarder) each(act func(*link)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		act(l)
	}
}

// behindForwarder has an agent listen behind a forwarder of its data and one of its control address.
func (c *cluster) behindForwarder(own *settings.Agent) {
	c.t.Helper()
	own.ListenData = own.BackendAddress[:len(own.BackendAddress)-4] + "7011"
	own.ListenControl = own.BackendAddress[:len(own.BackendAddress)-4] + "7012"
	host := own.Host
	c.forwarders[host.ID] = []*forwarder{
		newForwarder(c.t, host.DataAddress, own.ListenData),
		newForwarder(c.t, host.ControlAddress, own.ListenControl),
	}
}
