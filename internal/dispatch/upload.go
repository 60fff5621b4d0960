package dispatch

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxUploadWait is the longest time for which the end of an unframed response is held back while the rest of its request is sent.
	maxUploadWait = 100 * time.Millisecond
	// receivedPollInterval is the time between two questions whether the server's system has received the request.
	receivedPollInterval = time.Millisecond
)

// errRequestNotReceived is returned for an unframed response whose connection ended before the server had received the request.
var errRequestNotReceived = errors.New("the connection ended before the whole request was received, so the end of the response is unknown; check why the server ended it")

// upload is the write of a request. It may go on while the response is read.
//
// The system reports the reset of a connection to one call only. If that is a write, a read of the same connection returns what
// has arrived and then io.EOF, as after an orderly close. So the result of the write is needed to tell the two apart.
type upload struct {
	done chan struct{} // closed when the write has ended
	err  error         // of the write, once it has ended
}

// endedUpload is that of a request that was sent in one write.
var endedUpload = func() *upload {
	u := &upload{done: make(chan struct{})}
	close(u.done)
	return u
}()

// startUpload runs write concurrently. It ends with the connection at the latest.
func startUpload(write func() error) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = write()
	}()
	return u
}

// isSent reports whether the whole request has been written.
func (u *upload) isSent() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// awaitReceived waits until the server's system has received the whole request, for maxUploadWait at most. It returns an error if the
// write failed or the time has passed. A server that closes a connection before it has read all of a request resets it, so an orderly
// close of a connection on which all was received follows the request.
func (u *upload) awaitReceived(c *conn) error {
	deadline := time.Now().Add(maxUploadWait)
	select {
	case <-u.done:
	case <-time.After(maxUploadWait):
		return errRequestNotReceived
	}
	if u.err != nil {
		return fmt.Errorf("%w: %w", errRequestNotReceived, u.err)
	}
	for c.unacknowledged() > 0 {
		if time.Now().After(deadline) {
			return errRequestNotReceived
		}
		time.Sleep(receivedPollInterval)
	}
	return nil
}

// unacknowledged returns how many of the bytes sent have not been acknowledged by the peer's system, 0 if this is not known.
func (c *conn) unacknowledged() int {
	raw, ok := c.socket.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	unacknowledged := 0
	err = control.Control(func(fd uintptr) {
		count, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if ioctlErr == nil {
			unacknowledged = count
		}
	})
	if err != nil {
		return 0 // the connection is closed
	}
	return unacknowledged
}
