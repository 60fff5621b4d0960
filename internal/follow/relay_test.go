package follow

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
)

// partialStore is one process's access to a store that turns some processes away and serves the others.
type partialStore struct {
	*fakeStore
	refuses atomic.Bool
}

func (s *partialStore) Operator(ctx context.Context, since Cursor, wait time.Duration) (OperatorChanges, error) {
	if s.refuses.Load() {
		return OperatorChanges{}, errUnavailable
	}
	return s.fakeStore.Operator(ctx, since, wait)
}

func (s *partialStore) Endpoints(ctx context.Context, since Cursor) (EndpointChanges, error) {
	if s.refuses.Load() {
		return EndpointChanges{}, errUnavailable
	}
	return s.fakeStore.Endpoints(ctx, since)
}

// partialFleet is a delegate and two followers in each of three failure domains, all of which the store has served so far.
type partialFleet struct {
	store     *fakeStore
	delegates []*partialStore
	followers []*Follower
	access    []*partialStore // of the followers
}

// fleetIntervals are those of gateways. The silence that followers accept from a delegate depends on them.
var fleetIntervals = Intervals{OperatorWait: time.Second, EndpointsInterval: 800 * time.Millisecond}

func startPartialFleet(t *testing.T) *partialFleet {
	t.Helper()
	fleet := &partialFleet{store: &fakeStore{config: 1, ready: map[catalog.EndpointID]bool{"a": true, "b": true}}}
	regions := []core.Region{"east", "north", "west"}
	var addresses []string
	listeners := listenAll(t, len(regions))
	for _, listener := range listeners {
		addresses = append(addresses, listener.Addr().String())
	}
	for i, region := range regions {
		access := &partialStore{fakeStore: fleet.store}
		fleet.delegates = append(fleet.delegates, access)
		startFollowerAt(t, fleetIntervals, access, Delegates{Self: addresses[i], Region: region, Addresses: addresses}, listeners[i])
		for range 2 {
			access := &partialStore{fakeStore: fleet.store}
			fleet.access = append(fleet.access, access)
			fleet.followers = append(fleet.followers, startFollowerAt(t, fleetIntervals, access, Delegates{Region: region, Addresses: addresses}, nil))
		}
	}
	fleet.waitForView(t, "the first view", 1, 2)
	return fleet
}

func (fleet *partialFleet) waitForView(t *testing.T, what string, version int64, available int) {
	t.Helper()
	for _, follower := range fleet.followers {
		waitFor(t, what, func() bool {
			return configurationVersion(follower) == version && len(follower.View().AvailableEndpoints("s")) == available
		})
	}
}

// The store turns a third or all of the delegates away, and one follower in each failure domain. Every process learns of a
// revocation and a departure meanwhile within the time in which it has to.
func TestProcessesThatTheStoreTurnsAwayLearnOfChanges(t *testing.T) {
	for _, turnedAway := range []int{1, 3} {
		fleet := startPartialFleet(t)
		for _, access := range fleet.delegates[:turnedAway] {
			access.refuses.Store(true)
		}
		for i, access := range fleet.access {
			access.refuses.Store(i%2 == 0)
		}
		changedAt := time.Now()
		fleet.store.change(func() { fleet.store.config, fleet.store.ready["a"] = 2, false })
		fleet.waitForView(t, "the revocation and the departure", 2, 1)
		if took := time.Since(changedAt); took > drainLimit {
			t.Errorf("with %d delegates turned away the changes are known after %v, want %v at most", turnedAway, took, drainLimit)
		}
		changedAt = time.Now()
		fleet.store.change(func() { fleet.store.config, fleet.store.ready["b"] = 3, false })
		fleet.waitForView(t, "the second departure", 3, 0)
		if took := time.Since(changedAt); took > drainLimit {
			t.Errorf("with %d delegates turned away the second changes are known after %v, want %v at most", turnedAway, took, drainLimit)
		}
	}
}

// While one follower reads the store for a delegate, the others go back to that delegate and leave the store alone.
func TestOneFollowerReadsForADelegate(t *testing.T) {
	fleet := startPartialFleet(t)
	for _, access := range fleet.delegates {
		access.refuses.Store(true)
	}
	fleet.store.change(func() { fleet.store.config = 2 })
	fleet.waitForView(t, "the configuration", 2, 2)
	time.Sleep(2 * fleetIntervals.OperatorWait) // the followers have returned to the delegates
	before := fleet.store.reads.Load()
	time.Sleep(time.Second)
	perSecond := int(2*time.Second/relayInterval) * len(fleet.delegates)
	if reads := int(fleet.store.reads.Load() - before); reads == 0 || reads > 2*perSecond {
		t.Errorf("%d reads of the store in a second, want some and %d at most", reads, 2*perSecond)
	}
}

// A delegate that the store serves again needs nobody to read for it, and one whose reader falls silent says so to its
// followers.
func TestRelayEnds(t *testing.T) {
	m := newMirror()
	lease := relayLease{mirror: m}
	m.observe(tableOperators, errUnavailable)
	first, granted := lease.grant("a", 0)
	if !granted || m.isServing() {
		t.Fatal("the first reader is turned away, or its promise counts as data")
	}
	if _, granted := lease.grant("b", relayLeaseTime/2); granted {
		t.Error("a second reader is taken although the first one is within its time")
	}
	if !lease.accept("a", first, relayLeaseTime/2) || !m.isServing() {
		t.Error("a read by the reader is not taken")
	}
	if lease.accept("b", first, relayLeaseTime/2) || lease.accept("a", first-1, relayLeaseTime/2) {
		t.Error("a read that was not asked for is taken")
	}
	lease.expire(2 * relayLeaseTime)
	if m.isServing() {
		t.Error("a delegate whose reader is silent still serves followers")
	}
	if _, granted := lease.grant("b", 2*relayLeaseTime); !granted {
		t.Error("no other reader is taken")
	}
	m.observe(tableOperators, nil)
	if _, granted := lease.grant("b", 3*relayLeaseTime); granted || !m.isServing() {
		t.Error("a reader is taken although the delegate reads the store itself")
	}
}

// A process that starts takes what a delegate has, however old: it must know the age, so that nothing is sent to an endpoint
// that has left meanwhile.
func TestStartingProcessKnowsTheAgeOfTheRegistry(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	access := &partialStore{fakeStore: &fakeStore{config: 1, ready: map[catalog.EndpointID]bool{"a": true}}}
	delegate := startFollower(t, access, Delegates{Self: address, Addresses: []string{address}}, listener)
	waitFor(t, "the endpoint", func() bool { return len(delegate.View().AvailableEndpoints("s")) == 1 })
	access.refuses.Store(true)
	const outage = 300 * time.Millisecond
	waitFor(t, "the outage", func() bool { age, _ := delegate.EndpointsAge(); return age > outage })
	follower := startFollower(t, &fakeStore{unavailable: true}, Delegates{Addresses: []string{address}}, nil)
	waitFor(t, "the old endpoint and its age", func() bool {
		_, known := follower.EndpointsAge() // stored after the view; an unknown age counts as too old
		return known && len(follower.View().AvailableEndpoints("s")) == 1
	})
	if age, known := follower.EndpointsAge(); !known || age < outage {
		t.Errorf("the age of an old registry is %v (known: %v), want %v or more", age, known, outage)
	}
}

func listenAll(t *testing.T, count int) []net.Listener {
	t.Helper()
	listeners := make([]net.Listener, count)
	for i := range listeners {
		listeners[i] = listen(t)
	}
	return listeners
}
