package stream

import (
	"net"
	"time"
)

// NewListener returns a listener whose connections fail a write after progressTimeout without progress. Reads have no
// timeout, since a reused connection is silent between requests.
func NewListener(inner net.Listener, progressTimeout time.Duration) net.Listener {
	return &writeTimeoutListener{Listener: inner, timeout: progressTimeout}
}

type writeTimeoutListener struct {
	net.Listener
	timeout time.Duration
}

func (l *writeTimeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &writeTimeoutConn{Conn: conn, timeout: l.timeout}, nil
}

// writeTimeoutConn sets a deadline for each write.
type writeTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

func (c *writeTimeoutConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// NetConn returns the connection that c wraps.
func (c *writeTimeoutConn) NetConn() net.Conn { return c.Conn }
