package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/reduce"
)

// TestHostThatJustStartedAsksPeersFirst starts a host that has heard of no other while three have to hold the version.
func TestHostThatJustStartedAsksPeersFirst(t *testing.T) {
	limits := DefaultLimits()
	planner := New(Peer{Host: "self", Region: "r"}, limits, 1)
	version := fakeVersion("v", 4, 1)
	version.Hosts = 3
	asksOrigin := func(effects []reduce.Effect) bool {
		return slices.ContainsFunc(effects, func(effect reduce.Effect) bool {
			f, ok := effect.(FetchChunk)
			return ok && f.Source == ""
		})
	}
	if asksOrigin(planner.Step(VersionsWanted{Versions: []Version{version}})) {
		t.Error("the origin is asked before the others are heard of")
	}
	if asksOrigin(planner.Step(Tick{Stamp{Now: limits.JoinPatience - time.Millisecond}})) {
		t.Error("the origin is asked before the patience has passed")
	}
	if !asksOrigin(planner.Step(Tick{Stamp{Now: limits.JoinPatience}})) {
		t.Error("the origin is not asked after the patience has passed")
	}
}

// TestPeerThatDroppedTheVersionIsNotPutAside has a peer drop a version that it had announced: it is not taken for a liar,
// and the chunks of the next version are asked of it.
func TestPeerThatDroppedTheVersionIsNotPutAside(t *testing.T) {
	planner := New(Peer{Host: "self", Region: "r"}, DefaultLimits(), 1)
	planner.Step(RosterChanged{Peers: []Peer{{Host: "other", Region: "r"}}})
	planner.Step(VersionsWanted{Versions: []Version{fakeVersion("v", 4, 1)}})
	planner.Step(MapReceived{Asked: true, Host: "other", Version: "v", Have: Bitmap{15}})
	for _, f := range slices.Clone(planner.underway) {
		planner.Step(FetchEnded{Stamp: Stamp{Now: time.Second}, Fetch: f.id, Result: Dropped})
	}
	planner.Step(VersionsWanted{Versions: []Version{fakeVersion("w", 4, 1)}})
	effects := planner.Step(MapReceived{Stamp: Stamp{Now: 10 * time.Second}, Asked: true, Host: "other", Version: "w", Have: Bitmap{15}})
	asked := slices.ContainsFunc(effects, func(effect reduce.Effect) bool {
		f, ok := effect.(FetchChunk)
		return ok && f.Source == "other"
	})
	if !asked {
		t.Error("the peer is not asked for the next version")
	}
}
