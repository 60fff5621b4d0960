// Package dispatch sends one HTTP request to one endpoint and reports what is known of its outcome: no byte of it was
// sent, a response arrived, or it may have run. A connection is reused only after a complete exchange that left no
// extra bytes, so that a response cannot be taken for that of another request.
package dispatch

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lovageglade/lovageglade/internal/budget"
)

const (
	// DefaultDialTimeout covers many round trips between regions, and is below the shortest latency objective.
	DefaultDialTimeout = 300 * time.Millisecond
	defaultIdleTimeout = 4 * time.Second // for servers that announce no Keep-Alive timeout
	defaultIdle        = 32              // connections to an address; twice the slots of an endpoint
	readBufferBytes    = 4 << 10
	defaultHeadsBytes  = 16 << 20 // of memory for long heads
)

// conn is a connection with its read buffer.
type conn struct {
	net.Conn              // with the pool's ProgressTimeout
	socket       net.Conn // without it
	reader       *bufio.Reader
	reused       bool      // it has carried an exchange before
	idleDeadline time.Time // the server may close it after this time
}

// IdleShare is the share of a process's descriptors that a pool may hold idle.
const IdleShare = 1.0 / 4

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	// MaxIdle bounds the idle connections to all addresses together; 0 for no bound. It is not changed while the pool is used.
	MaxIdle int
	// MaxIdlePerAddress bounds the idle connections to one address, and IdleTimeout their time. They are not changed while the pool is used.
	MaxIdlePerAddress int
	IdleTimeout       time.Duration
	// MaxOpen bounds the exchanges with one address at a time; 0 for no bound. It is not changed while the pool is used.
	MaxOpen int
	// ProgressTimeout is the time after which a read or a write that transfers no byte fails; 0 for none. It is not changed while the
	// pool is used.
	ProgressTimeout time.Duration
	// Heads bounds the memory of long heads of responses. It is not changed while the pool is used.
	Heads *budget.Budget

	mu        sync.Mutex
	idle      map[string][]*conn
	idleCount int
	expiring  bool           // closeExpired is due
	open      map[string]int // exchanges by address, if MaxOpen is set
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{
		MaxIdlePerAddress: defaultIdle,
		IdleTimeout:       defaultIdleTimeout,
		Heads:             budget.New(defaultHeadsBytes),
		dialer:            net.Dialer{Timeout: DefaultDialTimeout, KeepAlive: -1},
		idle:              make(map[string][]*conn),
		open:              make(map[string]int),
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
	p.idleCount = 0
}

// getConn returns an idle connection to the request's address that is still usable. It dials a new one if there is none or the
// request needs one.
func (p *Pool) getConn(ctx context.Context, request *Request) (*conn, error) {
	if !request.NewConn {
		if c := p.takeIdle(request.Address); c != nil {
			return c, nil
		}
	}
	dialer := p.dialer
	if request.DialTimeout > 0 {
		dialer.Timeout = request.DialTimeout
	}
	socket, err := dialer.DialContext(ctx, "tcp", request.Address)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	opened := &conn{Conn: socket, socket: socket}
	if p.ProgressTimeout > 0 {
		opened.Conn = &progressConn{Conn: socket, timeout: p.ProgressTimeout}
	}
	opened.reader = bufio.NewReaderSize(opened.Conn, readBufferBytes)
	return opened, nil
}

var errTooManyOpen = errors.New("as many exchanges with the address are open as may be")

// acquire counts an exchange with the address, or returns errTooManyOpen.
func (p *Pool) acquire(address string) error {
	if p.MaxOpen == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address] >= p.MaxOpen {
		return errTooManyOpen
	}
	p.open[address]++
	return nil
}

// release counts the end of an exchange with the address.
func (p *Pool) release(address string) {
	if p.MaxOpen == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]--
	if p.open[address] == 0 {
		delete(p.open, address)
	}
}

// progressConn ends a read or a write that transfers no byte for the timeout. A read may wait for longer while a request is written.
type progressConn struct {
	net.Conn
	timeout time.Duration
	writes  atomic.Int64 // that have begun or ended
}

// Read implements io.Reader.
func (c *progressConn) Read(buf []byte) (int, error) {
	for {
		writes := c.writes.Load()
		if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(buf)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.writes.Load() != writes {
			continue
		}
		return n, err
	}
}

// Write implements io.Writer.
func (c *progressConn) Write(data []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(1)
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// takeIdle returns the most recently used connection that is still usable, or nil, and closes unusable ones on the way.
// The server is least likely to have closed the most recently used one.
func (p *Pool) takeIdle(address string) *conn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		if time.Now().Before(c.idleDeadline) && c.reusable() {
			return c
		}
		_ = c.Close()
	}
}

// popIdle removes the most recently used connection from the pool, or returns nil.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	p.idleCount--
	return last
}

// putIdle adds a connection to the pool and closes the address's least recently used one if the pool is full. The
// connection expires after half of the keepAlive time that the server announced, at most IdleTimeout; keepAlive
// is 0 if the server announced none.
func (p *Pool) putIdle(address string, c *conn, keepAlive time.Duration) {
	idleTimeout := p.IdleTimeout
	if keepAlive > 0 {
		idleTimeout = min(idleTimeout, keepAlive/2)
	}
	if err := c.socket.SetDeadline(time.Time{}); err != nil { // of ProgressTimeout
		_ = c.Close()
		return
	}
	c.reused = true
	c.idleDeadline = time.Now().Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) >= p.MaxIdlePerAddress {
		_ = list[0].Close()
		list = list[1:]
		p.idleCount--
	}
	if p.MaxIdle > 0 && p.idleCount >= p.MaxIdle {
		_ = c.Close()
		p.idle[address] = list
		return
	}
	p.idle[address] = append(list, c)
	p.idleCount++
	p.expireLater()
}

// expireLater arranges for closeExpired while there are idle connections. The caller holds p.mu.
func (p *Pool) expireLater() {
	if !p.expiring && p.idleCount > 0 {
		p.expiring = true
		time.AfterFunc(p.IdleTimeout, p.closeExpired)
	}
}

// closeExpired closes the idle connections whose time has passed. Those to an address that no request uses any more would stay open.
func (p *Pool) closeExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := slices.DeleteFunc(list, func(c *conn) bool {
			expired := now.After(c.idleDeadline)
			if expired {
				_ = c.Close()
				p.idleCount--
			}
			return expired
		})
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.expiring = false
	p.expireLater()
}

// CloseIdle closes the idle connections to an address, for an endpoint that is gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	p.idleCount -= len(p.idle[address])
	delete(p.idle, address)
}

// reset closes the connection and discards unsent data, so that a request whose caller has given up does not reach the
// endpoint when a partition heals.
func (c *conn) reset() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}

// reusable reports whether the server has neither closed the connection nor sent unexpected bytes.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.socket.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = control.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(recvErr, unix.EAGAIN)
		return true
	})
	return err == nil && noData
}
