package follow

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

// lastView returns the last view that the effects publish, or nil if there is none.
func lastView(effects []reduce.Effect) *catalog.View {
	var view *catalog.View
	for _, effect := range effects {
		if published, ok := effect.(publishView); ok {
			view = published.view
		}
	}
	return view
}

func endpoint(id string) *catalog.Endpoint {
	return &catalog.Endpoint{ID: catalog.EndpointID(id), Service: "s", FailureDomain: "x"}
}

func ids(view *catalog.View) string {
	text := ""
	for _, e := range view.AvailableEndpoints("s") {
		text += string(e.ID)
	}
	return text
}

func TestConfigurationNeverReverts(t *testing.T) {
	s := newState()
	version := func(n int64) operatorRead {
		return operatorRead{changes: OperatorChanges{Configuration: &catalog.Configuration{Version: n}}}
	}
	if view := lastView(s.step(version(5))); view.Configuration.Version != 5 {
		t.Fatal("the first configuration is not in force")
	}
	if view := lastView(s.step(version(3))); view != nil {
		t.Errorf("version %d replaced version 5", view.Configuration.Version)
	}
	if view := lastView(s.step(version(9))); view == nil || view.Configuration.Version != 9 {
		t.Error("a newer configuration is not in force")
	}
}

func TestFullReadEndsUnlistedEvacuations(t *testing.T) {
	s := newState()
	out := map[core.FailureDomain]bool{"x": true}
	if view := lastView(s.step(operatorRead{changes: OperatorChanges{Evacuations: out}})); !view.Evacuated["x"] {
		t.Fatal("the failure domain is not evacuated")
	}
	if view := lastView(s.step(operatorRead{changes: OperatorChanges{}})); view != nil {
		t.Error("a read without changes changed the view")
	}
	if view := lastView(s.step(operatorRead{changes: OperatorChanges{Full: true}})); view == nil || view.Evacuated["x"] {
		t.Error("the failure domain is still evacuated")
	}
}

// TestEntriesLapsedInOutageAreKept simulates an outage of the store of five seconds, during which two entries lapse.
// One of them comes back within the grace period.
func TestEntriesLapsedInOutageAreKept(t *testing.T) {
	s := newState()
	at := func(now time.Duration, changes EndpointChanges) *catalog.View {
		return lastView(s.step(endpointsRead{sentAt: now, receivedAt: now, changes: changes}))
	}
	at(time.Second, EndpointChanges{Full: true, Present: []*catalog.Endpoint{endpoint("a"), endpoint("b"), endpoint("c")}})
	back := 6 * time.Second
	if view := at(back, EndpointChanges{AfterOutage: true, Removed: []catalog.EndpointID{"a", "b"}}); ids(view) != "abc" {
		t.Fatalf("the endpoints after the return are %s", ids(view))
	}
	if view := at(back+time.Second, EndpointChanges{Present: []*catalog.Endpoint{endpoint("a")}}); ids(view) != "abc" {
		t.Fatalf("the endpoints within the grace period are %s", ids(view))
	}
	if view := at(back+lapseGrace, EndpointChanges{}); ids(view) != "ac" {
		t.Fatalf("the endpoints after the grace period are %s", ids(view))
	}
}

// TestEntryRemovedAfterOutageIsDroppedAtOnce guards against a grace period for entries that are removed after an
// outage. In hbx-lovage's day scale-2 a machine was cut off from the store, and an endpoint was removed half a second
// after the machine was connected again.
func TestEntryRemovedAfterOutageIsDroppedAtOnce(t *testing.T) {
	s := newState()
	at := func(now time.Duration, changes EndpointChanges) *catalog.View {
		return lastView(s.step(endpointsRead{sentAt: now, receivedAt: now, changes: changes}))
	}
	at(time.Second, EndpointChanges{Full: true, Present: []*catalog.Endpoint{endpoint("a"), endpoint("b")}})
	at(9*time.Second, EndpointChanges{Full: true, AfterOutage: true, Present: []*catalog.Endpoint{endpoint("a"), endpoint("b")}})
	if view := at(9500*time.Millisecond, EndpointChanges{Removed: []catalog.EndpointID{"b"}}); ids(view) != "a" {
		t.Errorf("%s take new requests after one was removed", ids(view))
	}
}

// TestFollowerKeepsLapsedEntriesOfDelegate checks that a follower keeps lapsed entries for the grace period, and
// drops removed ones at once.
func TestFollowerKeepsLapsedEntriesOfDelegate(t *testing.T) {
	s := newState()
	s.step(endpointsRead{receivedAt: time.Second, changes: EndpointChanges{Full: true, Present: []*catalog.Endpoint{endpoint("a"), endpoint("b"), endpoint("c")}}})
	changes := EndpointChanges{Removed: []catalog.EndpointID{"a"}, Lapsed: []catalog.EndpointID{"b"}}
	if view := lastView(s.step(endpointsRead{receivedAt: 9 * time.Second, changes: changes})); ids(view) != "bc" {
		t.Errorf("%s take new requests", ids(view))
	}
	if view := lastView(s.step(endpointsRead{receivedAt: 9*time.Second + lapseGrace})); ids(view) != "c" {
		t.Errorf("%s take new requests after the grace period", ids(view))
	}
}

// TestOutageRequiresFailedReads guards against a wait that is mistaken for an outage. In mt-flota's fresh-0dc2
// followers had waited two seconds for a delegate, took that for an outage of the store, and kept a removed endpoint
// for two more seconds.
func TestOutageRequiresFailedReads(t *testing.T) {
	var o outage
	o.observe(nil, time.Second, time.Second)
	if o.observe(nil, 9*time.Second, 9*time.Second); o.justEnded {
		t.Error("a pause without a failed read counts as an outage")
	}
	o.observe(errUnavailable, 10*time.Second, 10*time.Second)
	if o.observe(nil, 10500*time.Millisecond, 10500*time.Millisecond); o.justEnded {
		t.Error("one failed read counts as an outage")
	}
	o.observe(errUnavailable, 12*time.Second, 12*time.Second)
	if o.observe(nil, 14*time.Second, 14*time.Second); !o.justEnded {
		t.Error("an outage is not detected")
	}
	if o.observe(nil, 15*time.Second, 15*time.Second); o.justEnded {
		t.Error("the second read after an outage counts as the first")
	}
}

func TestNoGraceWithoutOutage(t *testing.T) {
	s := newState()
	s.step(endpointsRead{receivedAt: time.Second, changes: EndpointChanges{Full: true, Present: []*catalog.Endpoint{endpoint("a"), endpoint("b")}}})
	view := lastView(s.step(endpointsRead{receivedAt: 1800 * time.Millisecond, changes: EndpointChanges{Removed: []catalog.EndpointID{"a"}}}))
	if ids(view) != "b" {
		t.Errorf("%s take new requests", ids(view))
	}
}

func TestColdStartIsConvertedToBootClock(t *testing.T) {
	s := newState()
	entry := &catalog.Endpoint{ID: "a", ColdFor: 3 * time.Second}
	s.step(endpointsRead{receivedAt: 10 * time.Second, changes: EndpointChanges{Present: []*catalog.Endpoint{entry}}})
	if !s.endpoints["a"].IsCold(12*time.Second) || s.endpoints["a"].IsCold(13*time.Second) {
		t.Errorf("cold until %v, want 13s", s.endpoints["a"].ColdUntil)
	}
	s.step(endpointsRead{receivedAt: 11 * time.Second, changes: EndpointChanges{Present: []*catalog.Endpoint{{ID: "a"}}}})
	if s.endpoints["a"].IsCold(12 * time.Second) {
		t.Error("an entry that is no longer cold counts as cold")
	}
}
