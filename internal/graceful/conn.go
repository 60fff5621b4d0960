package graceful

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lovageglade/lovageglade/internal/ingress"
)

// refusalWriteTimeout bounds the time for a refusal to be passed to the system, which has room for it unless answers are left unread.
const refusalWriteTimeout = 100 * time.Millisecond

// conn is a connection that tells whether a request has arrived.
type conn struct {
	*net.TCPConn
	raw     syscall.RawConn
	account *ingress.Conn // nil without limits

	mu       sync.Mutex // held during a read, so that bytes are either unread or known to be read
	received bool       // bytes were read since the connection became idle
	reading  bool       // the server waits for bytes, so it has used all that it has read
	closing  bool       // nothing more is read
	cut      bool       // reads fail
	refused  bool       // the request has its answer, and nothing more is written
}

func newConn(tcp *net.TCPConn) (*conn, error) {
	raw, err := tcp.SyscallConn()
	return &conn{TCPConn: tcp, raw: raw}, err
}

// Read implements net.Conn. It fails if the request that is being read is refused.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.read(buffer)
	refusal := c.account.Received(buffer[:n])
	if refusal != nil {
		return 0, c.refuse(refusal)
	}
	return n, err
}

// refuse answers the request with the refusal, unless a handler does. It returns the error of the read.
func (c *conn) refuse(refusal *ingress.Refusal) error {
	c.mu.Lock()
	claimed := c.account.ClaimAnswer()
	c.refused = c.refused || claimed // before a handler that starts now can write
	c.mu.Unlock()
	if claimed {
		_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // fails only on a closed connection, as does the write
		_, _ = c.TCPConn.Write(refusal.Answer())
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: refusal}
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(data)
}

// Interrupt implements ingress.Socket.
func (c *conn) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	_ = c.TCPConn.SetReadDeadline(time.Now()) // fails only on a closed connection
}

// SetReadDeadline implements net.Conn. It leaves an interrupted connection as it is.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return nil
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// CloseIdle implements ingress.Socket.
func (c *conn) CloseIdle() bool { return c.closeIfIdle() }

func (c *conn) read(buffer []byte) (int, error) {
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
	c.account.Idle()
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
