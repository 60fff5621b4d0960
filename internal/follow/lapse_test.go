package follow

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
)

// silentStore is a Source whose registry fails for longer than outageThreshold, loses one entry meanwhile, answers once and
// then does not answer again.
type silentStore struct {
	mu       sync.Mutex
	firstAt  time.Duration // of the first read of the registry, on the boot clock
	returned bool          // the read after the outage was answered
}

func (s *silentStore) Operator(ctx context.Context, _ Cursor, _ time.Duration) (OperatorChanges, error) {
	<-ctx.Done()
	return OperatorChanges{}, ctx.Err()
}

func (s *silentStore) Endpoints(ctx context.Context, since Cursor) (EndpointChanges, error) {
	if s.hasReturned() {
		<-ctx.Done()
		return EndpointChanges{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !since.Valid {
		s.firstAt = bootclock.Now()
		return EndpointChanges{Full: true, Cursor: cursorAt(1), Present: []*catalog.Endpoint{endpoint("a"), endpoint("b")}}, nil
	}
	if bootclock.Now()-s.firstAt <= outageThreshold+retryInterval {
		return EndpointChanges{}, errUnavailable
	}
	s.returned = true
	return EndpointChanges{Cursor: cursorAt(2), Removed: []catalog.EndpointID{"b"}}, nil
}

func (s *silentStore) hasReturned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returned
}

func TestLapsedEndpointIsDroppedAfterGraceWithoutAnotherRead(t *testing.T) {
	store := &silentStore{}
	f := New(store, testIntervals, Delegates{}, &log.Logger{Level: log.PanicLevel})
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		stop()
		tasks.Wait()
	})
	waitFor(t, "both endpoints", func() bool { return len(f.View().AvailableEndpoints("s")) == 2 })
	waitFor(t, "the read after the outage", store.hasReturned)
	waitFor(t, "the lapsed endpoint to be withdrawn from requests", func() bool { return ids(f.View()) == "a" })
}

func TestGraceOfLapsedEndpointDoesNotStartAgainAtFollower(t *testing.T) {
	const returnedAt = 6 * time.Second // when the delegate read the store again
	delegate, follower := newMirror(), newState()
	first := EndpointChanges{Full: true, Cursor: cursorAt(1), Present: []*catalog.Endpoint{endpoint("a"), endpoint("b")}}
	delegate.addEndpoints(time.Second, first)
	follower.step(endpointsRead{receivedAt: time.Second, changes: first})
	delegate.addEndpoints(returnedAt, EndpointChanges{AfterOutage: true, Cursor: cursorAt(2), Removed: []catalog.EndpointID{"b"}})
	receivedAt := returnedAt + lapseGrace - time.Millisecond
	follower.step(endpointsRead{receivedAt: receivedAt, changes: delegate.endpointsSince(cursorAt(1), false, receivedAt)})
	follower.step(endpointsRead{receivedAt: returnedAt + lapseGrace, changes: EndpointChanges{Cursor: cursorAt(2)}})
	if got := ids(catalog.NewView(nil, nil, nil, present(follower))); got != "a" {
		t.Errorf("%s take new requests after the grace period that began at the delegate, want a", got)
	}
}
