package stream

import (
	"net"
	"time"
)

// progressConn gives every read and write a deadline of its own.
type progressConn struct {
	net.Conn
	progress time.Duration
}

func (c *progressConn) Read(into []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.progress)); err != nil {
		return 0, err
	}
	return c.Conn.Read(into)
}

func (c *progressConn) Write(from []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.progress)); err != nil {
		return 0, err
	}
	return c.Conn.Write(from)
}

// Listener accepts connections whose writes fail after the progress time without a byte taken by the other end. Reads
// may wait, since a kept connection is silent between requests.
func Listener(inner net.Listener, progress time.Duration) net.Listener {
	return &writeListener{Listener: inner, progress: progress}
}

type writeListener struct {
	net.Listener
	progress time.Duration
}

func (l *writeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &writeConn{Conn: conn, progress: l.progress}, nil
}

// writeConn gives every write a deadline of its own.
type writeConn struct {
	net.Conn
	progress time.Duration
}

func (c *writeConn) Write(from []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.progress)); err != nil {
		return 0, err
	}
	return c.Conn.Write(from)
}
