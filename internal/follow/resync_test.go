package follow

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/rpc"
)

func cursorAt(version uint64) Cursor { return Cursor{Valid: true, Version: version} }

// An endpoint is removed, added and removed again within seconds. The first delegate reads between the last two
// changes. The second one reads before and after both and sees no change. A follower that switches from the first to
// the second has to learn of the removal.
func TestResyncAfterDelegateSwitchRemovesEndpoint(t *testing.T) {
	flapping := []*catalog.Endpoint{{ID: "a", Service: "s"}}
	second := newMirror()
	second.addEndpoints(0, EndpointChanges{Full: true, Cursor: cursorAt(1), Present: flapping})
	second.addEndpoints(0, EndpointChanges{Cursor: cursorAt(5), Removed: []catalog.EndpointID{"a"}})
	second.addEndpoints(0, EndpointChanges{Cursor: cursorAt(9), Removed: []catalog.EndpointID{"a"}})
	follower := newState() // the first delegate listed the endpoint at version 7
	follower.step(endpointsRead{changes: EndpointChanges{Full: true, Cursor: cursorAt(7), Present: flapping}})
	follower.step(endpointsRead{changes: second.endpointsSince(cursorAt(7), true, time.Minute)})
	if follower.endpoints["a"] != nil {
		t.Error("the follower keeps an endpoint that was removed")
	}
}

func TestLaggingDelegateAnswersResyncWithNothing(t *testing.T) {
	m := newMirror()
	m.addEndpoints(0, EndpointChanges{Full: true, Cursor: cursorAt(5), Present: []*catalog.Endpoint{{ID: "a"}}})
	if got := m.endpointsSince(cursorAt(7), true, 0); got.Full || len(got.Present) > 0 || got.Cursor != cursorAt(7) {
		t.Errorf("%+v", got)
	}
	m.addEndpoints(0, EndpointChanges{Cursor: cursorAt(8)})
	if got := m.endpointsSince(cursorAt(7), true, 0); !got.Full || len(got.Present) != 1 || got.Cursor != cursorAt(8) {
		t.Errorf("%+v", got)
	}
}

// A restarted delegate does not know earlier removals, so it has to send the complete list to earlier readers.
func TestRestartedDelegateSendsFullListToEarlierReaders(t *testing.T) {
	m := newMirror()
	m.addEndpoints(0, EndpointChanges{Full: true, Cursor: cursorAt(9), Present: []*catalog.Endpoint{{ID: "b"}}})
	if got := m.endpointsSince(cursorAt(4), false, 0); !got.Full {
		t.Errorf("%+v", got)
	}
}

// After an outage, a complete list must not end the grace period of lapsed entries early.
func TestFullListKeepsGraceOfLapsedEntries(t *testing.T) {
	m := newMirror()
	m.addEndpoints(0, EndpointChanges{Full: true, Cursor: cursorAt(1), Present: []*catalog.Endpoint{{ID: "a"}}})
	m.addEndpoints(time.Minute, EndpointChanges{Cursor: cursorAt(2), Removed: []catalog.EndpointID{"a"}, AfterOutage: true})
	s := newState()
	s.step(endpointsRead{receivedAt: time.Minute, changes: EndpointChanges{Full: true, Present: []*catalog.Endpoint{{ID: "a"}}}})
	s.step(endpointsRead{receivedAt: time.Minute, changes: m.endpointsSince(cursorAt(1), true, time.Minute+time.Second)})
	if s.endpoints["a"] == nil {
		t.Error("an entry that lapsed a second ago was removed")
	}
	s.step(endpointsRead{receivedAt: time.Minute + lapseGrace, changes: m.endpointsSince(cursorAt(2), true, time.Minute+lapseGrace)})
	if s.endpoints["a"] != nil {
		t.Error("a lapsed entry is kept after the grace period")
	}
}

// recordingDelegate is a fake delegate that records the Resync field of each request.
type recordingDelegate struct {
	mu       sync.Mutex
	resyncs  []bool
	response readResponse
}

func (r *recordingDelegate) read(_ context.Context, request readRequest) (readResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resyncs = append(r.resyncs, request.Resync)
	return r.response, nil
}

func (r *recordingDelegate) resyncRequests() []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]bool(nil), r.resyncs...)
}

func (r *recordingDelegate) serve(listener net.Listener) *rpc.Server {
	return rpc.Serve(listener, map[string]rpc.Method{methodFollow: rpc.Handle(r.read)})
}

func TestResyncIsRequestedOncePerDelegate(t *testing.T) {
	listener := listen(t)
	r := &recordingDelegate{response: readResponse{Operator: OperatorChanges{Cursor: cursorAt(3)}, Endpoints: EndpointChanges{Full: true, Cursor: cursorAt(3)}}}
	server := r.serve(listener)
	startFollower(t, &fakeStore{unavailable: true}, Delegates{Addresses: []string{listener.Addr().String()}}, nil)
	waitFor(t, "some answers", func() bool { return len(r.resyncRequests()) >= 3 })
	server.Close()
	asked := r.resyncRequests()
	if !asked[0] || asked[1] || asked[2] {
		t.Errorf("requests for all endpoints: %v, want only the first one", asked[:3])
	}
	again, err := net.Listen("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fresh := &recordingDelegate{response: r.response}
	t.Cleanup(fresh.serve(again).Close)
	waitFor(t, "a request to the restarted delegate", func() bool { return len(fresh.resyncRequests()) >= 1 })
	if !fresh.resyncRequests()[0] {
		t.Error("the first request to a restarted delegate does not ask for all endpoints")
	}
}

// An evacuation that ends while a delegate restarts is missing from the delegate's first read. A follower that knew of
// the evacuation has to learn that it ended.
func TestADelegateThatStartedAnewEndsEvacuationsForThoseWhoReadBefore(t *testing.T) {
	follower := newState()
	follower.step(operatorRead{changes: OperatorChanges{Full: true, Cursor: cursorAt(4), Evacuations: map[core.FailureDomain]bool{"x": true}}})
	m := newMirror()
	if err := m.addOperator(operatorRead{changes: OperatorChanges{Full: true, Cursor: cursorAt(9)}}); err != nil {
		t.Fatal(err)
	}
	changes, _ := m.operatorSince(cursorAt(4), false)
	follower.step(operatorRead{changes: changes})
	if follower.evacuated["x"] {
		t.Error("the failure domain is still evacuated at the follower")
	}
}
