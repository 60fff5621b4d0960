package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/reduce"
)

// TestNewHostWaitsForPeersBeforeOrigin starts a host that knows no peers although three hosts have to hold the version. It
// must not use the origin before JoinTimeout.
func TestNewHostWaitsForPeersBeforeOrigin(t *testing.T) {
	limits := DefaultLimits()
	planner := New(Peer{Host: "self", Region: "r"}, limits, 1)
	version := testVersion("v", 4, 1)
	version.RegionHosts = 3
	asksOrigin := func(effects []reduce.Effect) bool {
		return slices.ContainsFunc(effects, func(effect reduce.Effect) bool {
			f, ok := effect.(FetchChunk)
			return ok && f.Source == ""
		})
	}
	if asksOrigin(planner.Step(VersionsChanged{Versions: []Version{version}})) {
		t.Error("the host uses the origin before it knows its peers")
	}
	if asksOrigin(planner.Step(Tick{Timestamp{Now: limits.JoinTimeout - time.Millisecond}})) {
		t.Error("the host uses the origin before JoinTimeout")
	}
	if !asksOrigin(planner.Step(Tick{Timestamp{Now: limits.JoinTimeout}})) {
		t.Error("the host does not use the origin after JoinTimeout")
	}
}

// TestPeerThatDroppedVersionIsNotQuarantined guards against quarantining a peer that no longer wants a version that it has
// announced. Chunks of the next version must still be requested from it.
func TestPeerThatDroppedVersionIsNotQuarantined(t *testing.T) {
	planner := New(Peer{Host: "self", Region: "r"}, DefaultLimits(), 1)
	planner.Step(PeersChanged{Peers: []Peer{{Host: "other", Region: "r"}}})
	planner.Step(VersionsChanged{Versions: []Version{testVersion("v", 4, 1)}})
	planner.Step(ChunkMapReceived{IsReply: true, Host: "other", Version: "v", Have: Bitmap{15}})
	for _, f := range slices.Clone(planner.activeFetches) {
		planner.Step(FetchEnded{Timestamp: Timestamp{Now: time.Second}, FetchID: f.id, Result: NotWanted})
	}
	planner.Step(VersionsChanged{Versions: []Version{testVersion("w", 4, 1)}})
	effects := planner.Step(ChunkMapReceived{Timestamp: Timestamp{Now: 10 * time.Second}, IsReply: true, Host: "other", Version: "w", Have: Bitmap{15}})
	requested := slices.ContainsFunc(effects, func(effect reduce.Effect) bool {
		f, ok := effect.(FetchChunk)
		return ok && f.Source == "other"
	})
	if !requested {
		t.Error("no chunk of the next version is requested from the peer")
	}
}
