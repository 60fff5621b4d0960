// Package dispatch sends one request to one endpoint and says for certain what is known of its outcome: that no byte of
// it was sent, that an answer arrived, or that it may have run. Connections are kept only after a whole exchange that
// left nothing over, so that no answer can be taken for another request's.
package dispatch

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout        = 300 * time.Millisecond // many round trips between regions, and under the shortest objective
	defaultIdleTimeout = 4 * time.Second        // for which a connection is kept without a stated time-out of the other end
	maxIdlePerAddress  = 32                     // kept connections to one address: twice the slots of an endpoint
	readBufferBytes    = 4 << 10
)

// conn is a connection with its read buffer.
type conn struct {
	net.Conn
	reader       *bufio.Reader
	reused       bool      // it carried an exchange before
	idleDeadline time.Time // after which the other end may close it
}

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}, idle: make(map[string][]*conn)}
}

// Close ends the kept connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
}

// getConn returns a kept connection that is still usable, or a new one if fresh is set or none is kept.
func (p *Pool) getConn(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	socket, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	return &conn{Conn: socket, reader: bufio.NewReaderSize(socket, readBufferBytes)}, nil
}

// takeIdle returns the connection used last, since the oldest ones are the likeliest to have been closed.
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

func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return last
}

// putIdle keeps the connection for the time that the other end stated, or the usual one if it stated none.
func (p *Pool) putIdle(address string, c *conn, keepAlive time.Duration) {
	idleTimeout := defaultIdleTimeout
	if keepAlive > 0 {
		idleTimeout = min(idleTimeout, keepAlive/2)
	}
	c.reused = true
	c.idleDeadline = time.Now().Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) >= maxIdlePerAddress {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[address] = append(list, c)
}

// Forget closes the kept connections to an address whose other end is gone.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// reset closes the connection so that bytes which have not arrived yet never do: a request that its caller has given up
// must not reach the endpoint after a partition has healed.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}

// reusable tells whether the other end has neither closed the connection nor sent bytes that belong to no request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
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
