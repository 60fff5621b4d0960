// Package completeness decides whether an answer that has neither a length nor chunks is complete. Its end is that of its
// connection, which the system closes in order when the server's process is killed, too. The answer counts as complete if
// the process that sent it is known to live after the end.
package completeness

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/fault"
)

const (
	// MaxWait is the longest time for which the end of an answer is held back.
	MaxWait = 100 * time.Millisecond
	// settleTime is the time after the end of a connection in which a process that was killed closes its listening socket. The
	// rest of MaxWait is for connecting.
	settleTime = 30 * time.Millisecond
	// retryDelay is the pause before the server is asked again, on another connection.
	retryDelay = 5 * time.Millisecond
)

// Check returns nil if the server lives that has just ended an answer, and an error if it does not or if this is not known before
// the context ends.
type Check func(ctx context.Context) error

// Confirm returns nil for a framed answer, whose end is known. For an unframed one it runs the check for MaxWait at most and returns an
// error of kind EndpointFault if that fails.
func Confirm(ctx context.Context, framing dispatch.Framing, check Check) error {
	if framing != dispatch.Unframed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, MaxWait)
	defer cancel()
	if err := check(ctx); err != nil {
		return fault.Wrap(err, fault.EndpointFault, "the answer ended with its connection, and its endpoint is not known to live", "check whether the endpoint crashed")
	}
	return nil
}

var errRestarted = errors.New("the process has started again")

// ByStart returns a check that asks the server for the time of its start, which must be the one that it had when the request
// was sent.
func ByStart(ask func(ctx context.Context) (time.Time, error), before time.Time) Check {
	return func(ctx context.Context) error {
		for {
			start, err := ask(ctx)
			switch {
			case err == nil && !before.IsZero() && start.Equal(before):
				return nil
			case err == nil:
				return errRestarted
			case errors.Is(err, syscall.ECONNREFUSED):
				return err
			}
			select {
			case <-ctx.Done():
				return err
			case <-time.After(retryDelay): // the kept connection may have ended
			}
		}
	}
}

// ByListener returns a check that connects to the server's address after settleTime, for servers that cannot be asked. A process that
// has ended listens no more by then. A connection that is opened while it ends proves nothing: the system may neither serve nor reset
// it. A process that lives may close the connection, for want of room.
func ByListener(address string) Check {
	return func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(settleTime):
		}
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return err
		}
		return conn.Close()
	}
}
