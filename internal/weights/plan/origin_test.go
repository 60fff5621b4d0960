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
