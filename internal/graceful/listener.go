package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quietTime is how long no connection may arrive before a listener that is to be closed counts as empty. It covers
	// the time that a process with little of a processor may be held off between two accepts.
	quietTime = 50 * time.Millisecond
	// longestFinish is the time after which a listener that is to be closed is closed as soon as no connection waits, if
	// callers never stop connecting.
	longestFinish = time.Second
)

// listener is a listener that can be closed without resetting the connections that wait to be accepted.
type listener struct {
	*net.TCPListener
	finishBy atomic.Pointer[time.Time] // nil until the listener is to be closed
}

func newListener(tcp *net.TCPListener) *listener {
	return &listener{TCPListener: tcp}
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
		if finishBy != nil && time.Now().After(*finishBy) && !l.connWaits() {
			return nil, l.end()
		}
		if finishBy != nil {
			_ = l.SetDeadline(time.Now().Add(quietTime)) // fails only on a closed listener, as does accepting
		}
		tcp, err := l.AcceptTCP()
		switch {
		case err == nil:
			return newConn(tcp)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case finishBy != nil && !l.connWaits(): // one may have arrived while the process was held off
			return nil, l.end()
		}
	}
}

// end closes the listener, which resets connections that arrive from now on, and returns the error for Accept.
func (l *listener) end() error {
	_ = l.Close() // fails only if it is closed
	return http.ErrServerClosed
}

// connWaits reports whether a connection waits to be accepted.
func (l *listener) connWaits() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false // the listener is closed
	}
	waits := false
	err = raw.Control(func(fd uintptr) {
		ready := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(ready, 0)
		waits = pollErr == nil && n > 0
	})
	return err == nil && waits
}
