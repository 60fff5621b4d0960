package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/reduce"
)

// TestHostThatJustStartedAsksPeersFirst starts a host that has heard of no other while three have to hold the version.
func TestNewHostWaitsForPeersBeforeOrigin(t *testing.T) {
	limits := DefaultLimits()
	planner := New(Peer{Host: "self", Region: "r"}, limits, 1)
	version := testVersion("v", 4, 1)
	version.Hosts = 3
	asksOrigin := func(effects []reduce.Effect) bool {
		return slices.ContainsFunc(effects, func(effect reduce.Effect) bool {
			f, ok := effect.(FetchChunk)
			return ok && f.Source == ""
		})
	}
	if asksOrigin(planner.Step(VersionsChanged{Versions: []Version{version}})) {
		t.Error("the origin is asked before the others are heard of")
	}
	if asksOrigin(planner.Step(Tick{Timestamp{Now: limits.JoinTimeout - time.Millisecond}})) {
		t.Error("the origin is asked before the patience has passed")
	}
	if !asksOrigin(planner.Step(Tick{Timestamp{Now: limits.JoinTimeout}})) {
		t.Error("the origin is not asked after the patience has passed")
	}
}

// TestPeerThatDroppedTheVersionIsNotPutAside has a peer drop a version that it had announced: it is not taken for a liar,
// and the chunks of the next version are asked of it.
func TestPeerThatDroppedVersionIsNotQuarantined(t *testing.T) {
	planner := New(Peer{Host: "self", Region: "r"}, DefaultLimits(), 1)
	planner.Step(PeersChanged{Peers: []Peer{{Host: "other", Region: "r"}}})
	planner.Step(VersionsChanged{Versions: []Version{testVersion("v", 4, 1)}})
	planner.Step(MapReceived{IsReply: true, Host: "other", Version: "v", Have: Bitmap{15}})
	for _, f := range slices.Clone(planner.activeFetches) {
		planner.Step(FetchEnded{Timestamp: Timestamp{Now: time.Second}, Fetch: f.id, Result: NotWanted})
	}
	planner.Step(VersionsChanged{Versions: []Version{testVersion("w", 4, 1)}})
	effects := planner.Step(MapReceived{Timestamp: Timestamp{Now: 10 * time.Second}, IsReply: true, Host: "other", Version: "w", Have: Bitmap{15}})
	requested := slices.ContainsFunc(effects, func(effect reduce.Effect) bool {
		f, ok := effect.(FetchChunk)
		return ok && f.Source == "other"
	})
	if !requested {
		t.Error("the peer is not asked for the next version")
	}
}
