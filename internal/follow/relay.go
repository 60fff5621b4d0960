package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// The store may turn delegates away and serve other processes. A delegate that is turned away then has one of its followers
// read the store for it: it asks for a read in the response to methodRelay, and the follower sends the result with its next
// call. The read begins after the delegate has asked for it, so it includes all changes up to then on the delegate's own
// clock, and followers get true ages whatever the calls take.

// methodRelay is the control method with which a follower offers to read the store for a delegate and sends what it read.
const methodRelay = "follow.relay"

const (
	// relayInterval is how long a read for a delegate waits for a change of the operators' table. The registry is read as
	// often. It is a fifth of the two seconds in which a departure has to be known everywhere, beside the delegate's own hold.
	relayInterval = 400 * time.Millisecond
	// relayLeaseTime is the time after which a delegate gives up a reader that has sent nothing. It covers the wait of one
	// read, a slow response of the store and a call, and is below the silence that followers accept.
	relayLeaseTime = 1500 * time.Millisecond
)

// relayRequest offers to read the store for the delegate, and carries the result of the read that it asked for before.
type relayRequest struct {
	Reader string     // identifies the follower
	Read   *relayRead `json:",omitempty"` // nil in the first call
}

// relayRead is the result of reading both tables for a delegate.
type relayRead struct {
	Asked                time.Duration // of the relayResponse that asked for it
	Operator             OperatorChanges
	EncodedConfiguration encodedConfiguration `json:",omitempty"` // the configuration; empty if it did not change
	Endpoints            EndpointChanges
}

// relayResponse asks for the next read, from the cursors on.
type relayResponse struct {
	Granted             bool          // false: no read is needed from this follower
	Asked               time.Duration // time of the response on the delegate's boot clock
	Operator, Endpoints Cursor
}

// relayLease tells which follower reads the store for this delegate. Times are on the boot clock. It is safe for concurrent
// use.
type relayLease struct {
	mirror *mirror

	mu     sync.Mutex
	reader string
	asked  time.Duration // of the last response to the reader
	until  time.Duration
}

// grant returns the time at which the reader is asked to read, and false if it is not needed: the delegate reads the store
// itself, or has another reader.
func (l *relayLease) grant(reader string, now time.Duration) (asked time.Duration, granted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.mirror.isFailing(tableOperators) && !l.mirror.isFailing(tableEndpoints) {
		l.reader = ""
		l.mirror.setRelayed(false)
		return 0, false
	}
	if l.reader != "" && l.reader != reader && now < l.until {
		return 0, false
	}
	l.reader, l.asked, l.until = reader, now, now+relayLeaseTime
	return now, true
}

// accept reports whether a read that was asked for at the given time is the one expected. From then on the delegate serves
// its followers, until expire.
func (l *relayLease) accept(reader string, asked, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reader != reader || l.asked != asked || now >= l.until {
		return false
	}
	l.mirror.setRelayed(true)
	return true
}

// expire ends the lease if the reader has sent nothing for relayLeaseTime.
func (l *relayLease) expire(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now >= l.until {
		l.reader = ""
		l.mirror.setRelayed(false)
	}
}

// serveRelay takes a follower's read of the store in place of this process's own, and asks for the next one.
func (f *Follower) serveRelay(ctx context.Context, request relayRequest) (relayResponse, error) {
	if !f.readsStore {
		return relayResponse{}, nil
	}
	if read := request.Read; read != nil && f.lease.accept(request.Reader, read.Asked, bootclock.Now()) {
		if err := f.takeRelayed(ctx, read); err != nil {
			f.logger.Warn().Err(err).Str("reader", request.Reader).Msg("read by a follower is not used")
		}
	}
	asked, granted := f.lease.grant(request.Reader, bootclock.Now())
	if !granted {
		return relayResponse{}, nil
	}
	if request.Read == nil {
		f.logger.Info().Str("reader", request.Reader).Msg("follower reads the store for this delegate")
	}
	time.AfterFunc(relayLeaseTime, func() { f.lease.expire(bootclock.Now()) })
	operator, endpoints := f.mirror.cursors()
	return relayResponse{Granted: true, Asked: asked, Operator: operator, Endpoints: endpoints}, nil
}

// takeRelayed applies a follower's read. Whether entries may have lapsed in an outage is this process's own judgement, since
// it knows how long it had no read.
func (f *Follower) takeRelayed(ctx context.Context, read *relayRead) error {
	var err error
	if read.Operator.Configuration, err = read.EncodedConfiguration.decode(); err != nil {
		return err
	}
	telemetry.RelayedRead()
	read.Operator.StoreTime, read.Endpoints.StoreTime = 0, 0 // the offset of the clocks is measured by own reads only
	return errors.Join(f.takeOperator(ctx, read.Asked, read.Operator, catalog.RolloutRelay), f.takeEndpoints(ctx, read.Asked, read.Endpoints))
}
