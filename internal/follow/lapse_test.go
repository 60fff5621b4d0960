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

func TestGraceStopsWhileTheRegistryIsUnavailable(t *testing.T) {
	s := newState()
	s.step(endpointsRead{receivedAt: time.Second, changes: EndpointChanges{Full: true, Present: []*catalog.Endpoint{endpoint("a")}}})
	s.step(endpointsRead{receivedAt: 6 * time.Second, changes: EndpointChanges{AfterOutage: true, Removed: []catalog.EndpointID{"a"}}})
	s.step(registryUnavailable{at: 7 * time.Second})
	if view := lastView(s.step(graceElapsed{at: 6*time.Second + lapseGrace})); view != nil {
		t.Errorf("during a second outage %q take new requests", ids(view))
	}
	s.step(endpointsRead{receivedAt: 17 * time.Second})
	if view := lastView(s.step(graceElapsed{at: 16*time.Second + lapseGrace - 1})); view != nil {
		t.Errorf("before the end of the grace period %q take new requests", ids(view))
	}
	if view := lastView(s.step(graceElapsed{at: 16*time.Second + lapseGrace})); view == nil || ids(view) != "" {
		t.Error("the endpoint is kept after the grace period")
	}
}

func TestGraceIsShorterAfterALateFirstRead(t *testing.T) {
	var o outage
	o.observe(nil, time.Second, time.Second)
	o.observe(errUnavailable, 8*time.Second, 8500*time.Millisecond)
	const firstRead = 10 * time.Second
	o.observe(nil, firstRead, firstRead)
	s := newState()
	s.step(endpointsRead{receivedAt: time.Second, changes: EndpointChanges{Full: true, Present: []*catalog.Endpoint{endpoint("a")}}})
	s.step(endpointsRead{receivedAt: firstRead, changes: EndpointChanges{AfterOutage: o.justEnded, ReturnedBefore: o.returnedBefore(firstRead), Removed: []catalog.EndpointID{"a"}}})
	const inTouch = 3 * time.Second // after the earliest possible return of the store
	if s.step(graceElapsed{at: 8*time.Second + inTouch}); s.endpoints["a"] != nil {
		t.Error("the endpoint is kept although the store may have returned long before the first read")
	}
}

func TestReadThatFindsNoHistoryDoesNotEndTheGraceOfAnOutage(t *testing.T) {
	var o outage
	o.observe(nil, time.Second, time.Second)
	o.observe(errUnavailable, 4*time.Second, 4*time.Second)
	o.observe(ErrHistoryGone, 5*time.Second, 5*time.Second)
	if o.observe(nil, 5*time.Second, 5*time.Second); !o.justEnded {
		t.Error("the complete read after an outage does not count as the first one")
	}
	if o.observe(nil, 6*time.Second, 6*time.Second); o.justEnded {
		t.Error("the read after it counts as the first one")
	}
}

func TestResumedGraceIsShorterAfterALateFirstRead(t *testing.T) {
	s := newState()
	s.step(endpointsRead{receivedAt: time.Second, changes: EndpointChanges{Full: true, Present: []*catalog.Endpoint{endpoint("a")}}})
	s.step(endpointsRead{receivedAt: 6 * time.Second, changes: EndpointChanges{AfterOutage: true, Removed: []catalog.EndpointID{"a"}}})
	s.step(registryUnavailable{at: 6200 * time.Millisecond})
	const returned, late = 12 * time.Second, 900 * time.Millisecond
	s.step(endpointsRead{receivedAt: returned + maxReturnDelay + late, changes: EndpointChanges{AfterOutage: true, ReturnedBefore: late}})
	if s.step(graceElapsed{at: returned + maxReturnDelay + lapseGrace}); s.endpoints["a"] != nil {
		t.Error("the grace period outlasts that of an entry which lapsed in the second outage")
	}
}

func TestSecondOutageDoesNotEndTheGraceAtFollowers(t *testing.T) {
	m := newMirror()
	now := bootclock.Now()
	m.addEndpoints(now, EndpointChanges{Full: true, Cursor: cursorAt(1), Present: []*catalog.Endpoint{endpoint("a")}})
	m.addEndpoints(now, EndpointChanges{Cursor: cursorAt(2), Removed: []catalog.EndpointID{"a"}, AfterOutage: true})
	m.observe(tableEndpoints, errUnavailable)
	back := now + 2*lapseGrace
	m.addEndpoints(back, EndpointChanges{Cursor: cursorAt(3)})
	if changes := m.endpointsSince(cursorAt(1), true, back); len(changes.Lapsed) != 1 {
		t.Error("an entry whose grace period stood still is dropped from the complete list")
	}
}
