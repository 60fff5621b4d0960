package graceful

import (
	"io"
	"net"
	"sync"
	"syscall"
)

// conn is a connection that tells whether a request has arrived.
type conn struct {
	*net.TCPConn
	raw syscall.RawConn

	mu       sync.Mutex // held during a read, so that bytes are either unread or known to be read
	received bool       // bytes were read since the connection became idle
	reading  bool       // the server waits for bytes, so it has used all that it has read
	closing  bool       // nothing more is read
}

func newConn(tcp *net.TCPConn) (*conn, error) {
	raw, err := tcp.SyscallConn()
	return &conn{TCPConn: tcp, raw: raw}, err
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	c.setReading(true)
	defer c.setReading(false)
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closing {
			n, readErr = 0, nil
			return true
		}
		for readErr = syscall.EINTR; readErr == syscall.EINTR; {
			n, readErr = syscall.Read(int(fd), buffer)
		}
		c.received = c.received || n > 0
		return readErr != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: readErr}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

// becomeIdle records that the last request has been answered.
func (c *conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = false
}

// closeIfIdle closes the connection unless bytes of a request that is not answered have arrived, read or not. It returns whether
// the connection is closed.
func (c *conn) closeIfIdle() bool {
	if !c.stopIfIdle() {
		return false
	}
	_ = c.Close() // it has nothing to send
	return true
}

// stopIfIdle ends reads unless bytes of a request have arrived, and returns whether it did. The close follows without the lock,
// since it waits for a read under way, which needs the lock to end.
func (c *conn) stopIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received || !c.reading {
		return false // a request may have been read together with the one before it
	}
	unread := 0
	err := c.raw.Control(func(fd uintptr) {
		if n, _, peekErr := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT); peekErr == nil {
			unread = n
		}
	})
	c.closing = err != nil || unread == 0
	return c.closing
}
