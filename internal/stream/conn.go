package stream

import (
	"net"
	"time"
)

// readWriteTimeoutConn gives every read and write a deadline of its own.
type readWriteTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

func (c *readWriteTimeoutConn) Read(buf []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(buf)
}

func (c *readWriteTimeoutConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// Listener accepts connections whose writes fail after the progress time without a byte taken by the other end. Reads
// may wait, since a kept connection is silent between requests.
func Listener(inner net.Listener, progressTimeout time.Duration) net.Listener {
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

// writeTimeoutConn gives every write a deadline of its own.
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
