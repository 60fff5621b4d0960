package follow

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/rpc"
)

const (
	drainLimit = 2 * time.Second // drain-ms: no request reaches an endpoint later than this after its departure
	// drainMargin covers a slow read of the store (maxFeedDelay) and the path of a request whose endpoint is already chosen.
	drainMargin = 2 * maxFeedDelay
)

// silentDelegate accepts requests and never answers them.
type silentDelegate struct {
	asked   chan struct{} // receives a value when a follower that has read the store asks
	stopped chan struct{}
}

func (d *silentDelegate) read(_ context.Context, request readRequest) (readResponse, error) {
	if request.Operator.Valid {
		select {
		case d.asked <- struct{}{}:
		default:
		}
	}
	<-d.stopped
	return readResponse{}, errUnavailable
}

// departureDelay returns the time from an endpoint's removal from the store until the view of a follower without it. The
// endpoint is removed when the follower asks the first of its delegates, none of which answers.
func departureDelay(t *testing.T, intervals Intervals, silentDelegates int) time.Duration {
	t.Helper()
	delegate := &silentDelegate{asked: make(chan struct{}, 1), stopped: make(chan struct{})}
	var addresses []string
	for range silentDelegates {
		listener := listen(t)
		t.Cleanup(rpc.Serve(listener, map[string]rpc.Method{methodFollow: rpc.Handle(delegate.read)}).Close)
		addresses = append(addresses, listener.Addr().String())
	}
	store := &fakeStore{config: 1, ready: map[catalog.EndpointID]bool{"a": true, "b": true}}
	peers := rpc.NewClient()
	f := New(store, intervals, Delegates{Addresses: addresses, Peers: peers, EndpointsWait: intervals.OperatorWait}, &log.Logger{Level: log.PanicLevel})
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		stop()
		close(delegate.stopped)
		peers.Close()
		tasks.Wait()
	})
	select {
	case <-delegate.asked:
	case <-time.After(testTimeout):
		t.Fatal("no delegate was asked after the store had been read")
	}
	waitFor(t, "both endpoints", func() bool { return len(f.View().RegisteredEndpoints("s")) == 2 })
	removedAt := time.Now()
	store.change(func() { delete(store.ready, "a") })
	waitFor(t, "the removal", func() bool { return len(f.View().RegisteredEndpoints("s")) == 1 })
	return time.Since(removedAt)
}

func TestSilentDelegatesDoNotDelayDeparturesAtSidecars(t *testing.T) {
	sidecar := Intervals{OperatorWait: 2 * time.Second, EndpointsInterval: 10 * time.Millisecond}
	for _, silent := range []int{1, 3} {
		if delay := departureDelay(t, sidecar, silent); delay > drainLimit-drainMargin {
			t.Errorf("with %d silent delegates an endpoint's departure is seen after %v, want %v at most", silent, delay, drainLimit-drainMargin)
		}
	}
}

func TestSilentDelegatesDoNotDelayDeparturesAtGateways(t *testing.T) {
	gateway := Intervals{OperatorWait: time.Second, EndpointsInterval: 800 * time.Millisecond}
	for _, silent := range []int{1, 3} {
		if delay := departureDelay(t, gateway, silent); delay > drainLimit-drainMargin {
			t.Errorf("with %d silent delegates an endpoint's departure is seen after %v, want %v at most", silent, delay, drainLimit-drainMargin)
		}
	}
}

func TestRemovalOfOwnEndpointIsUrgent(t *testing.T) {
	own := &catalog.Endpoint{ID: "a", Address: "10.0.0.1:80"}
	for name, afterOutage := range map[string]bool{"removed": false, "lapsed": true} {
		m := newMirror()
		m.addEndpoints(0, EndpointChanges{Full: true, Cursor: cursorAt(1), Present: []*catalog.Endpoint{own}})
		m.addEndpoints(0, EndpointChanges{Cursor: cursorAt(2), Removed: []catalog.EndpointID{own.ID}, AfterOutage: afterOutage})
		if !m.endpointsChangedSince(cursorAt(1), false, own.Address) {
			t.Errorf("%s: the endpoint's own sidecar is not woken", name)
		}
	}
}

// A follower that comes from the store is ahead of a delegate until the delegate's next read, which may bring no change.
func TestResyncIsAnsweredOnceTheDelegateHasCaughtUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirror()
		m.addEndpoints(0, EndpointChanges{Full: true, Cursor: cursorAt(1), Present: []*catalog.Endpoint{{ID: "a"}}})
		request := readRequest{Operator: cursorAt(1), Endpoints: cursorAt(2), Wait: drainLimit, EndpointsWait: drainLimit, Resync: true}
		answered := make(chan struct{})
		began := time.Now()
		go func() {
			defer close(answered)
			m.waitForChange(context.Background(), request)
		}()
		synctest.Wait()
		m.addEndpoints(0, EndpointChanges{Cursor: cursorAt(3)})
		<-answered
		if waited := time.Since(began); waited > drainMargin {
			t.Errorf("a delegate that has caught up holds the request for %v more", waited)
		}
	})
}
