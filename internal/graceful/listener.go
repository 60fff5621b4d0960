package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/ingress"
)

const (
	// quietTime is how long no connection may arrive before a listener that is to be closed counts as empty. It covers
	// the time that a process with little of a processor may be held off between two accepts.
	quietTime = 50 * time.Millisecond
	// longestFinish is the time after which a listener that is to be closed is closed as soon as no connection waits, if
	// callers never stop connecting.
	longestFinish = time.Second
	// longestLastLooks bounds the time after that in which connections that wait are accepted.
	longestLastLooks = 500 * time.Millisecond
	// lastLook is long enough for an accept that need not wait, with little of a processor.
	lastLook = 10 * time.Millisecond
)

// listener is a listener that can be closed without resetting the connections that wait to be accepted.
type listener struct {
	*net.TCPListener
	guard    *ingress.Guard            // nil without limits
	finishBy atomic.Pointer[time.Time] // nil until the listener is to be closed
	closing  sync.Once
}

func newListener(tcp *net.TCPListener) *listener {
	return &listener{TCPListener: tcp}
}

// Close implements net.Listener. Later calls do nothing.
func (l *listener) Close() (err error) {
	l.closing.Do(func() { err = l.TCPListener.Close() })
	return err
}

// finish makes Accept return http.ErrServerClosed as soon as no connection waits, and closes the listener then.
func (l *listener) finish(ctx context.Context) {
	by := time.Now().Add(longestFinish)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(by) {
		by = deadline
	}
	l.finishBy.Store(&by)
	_ = l.SetDeadline(time.Now()) // wakes Accept; fails only on a closed listener
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		finishBy := l.finishBy.Load()
		if finishBy != nil && time.Now().After(finishBy.Add(longestLastLooks)) {
			_ = l.Close() // what waits is reset; the open requests need the rest of the grace period
			return nil, http.ErrServerClosed
		}
		if finishBy != nil {
			_ = l.SetDeadline(time.Now().Add(quietTimeAt(*finishBy))) // fails only on a closed listener, as does accepting
		}
		tcp, err := l.AcceptTCP()
		switch {
		case err == nil:
			if c, err := l.admit(tcp); c != nil || err != nil {
				return c, err
			}
		case finishBy != nil:
			_ = l.Close() // fails only if it is closed
			return nil, http.ErrServerClosed
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
	}
}

// admit returns the connection, or nil if there is no room for it and it was closed.
func (l *listener) admit(tcp *net.TCPConn) (net.Conn, error) {
	c, err := newConn(tcp)
	if err != nil || l.guard == nil {
		return c, err
	}
	if bytes := l.guard.SocketBytes(); bytes > 0 {
		_ = tcp.SetReadBuffer(bytes) // fails only on a closed connection, as does the next
		_ = tcp.SetWriteBuffer(bytes)
	}
	if c.account = l.guard.Accept(c); c.account == nil {
		_ = tcp.Close() // nothing was read, so nothing has run
		return nil, nil
	}
	return c, nil
}

// quietTimeAt returns how long no connection may arrive before the listener is closed. After finishBy it only lets the
// connections be accepted that wait already.
func quietTimeAt(finishBy time.Time) time.Duration {
	if time.Now().After(finishBy) {
		return lastLook
	}
	return quietTime
}
