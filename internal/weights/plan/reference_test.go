package plan

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

// referenceModel is a simple model of the planner's choices that keeps its state in plain Go maps. A fetch
// with an empty Source is from the origin.
type referenceModel struct {
	limits        Limits
	chunks        int
	have          map[int]bool
	announced     map[core.HostID]map[int]bool // last chunk map of each host, without refused chunks
	refused       map[core.HostID]map[int]bool
	activeFetches map[FetchID]FetchChunk
	// unannounced holds the active fetches whose source had not announced the chunk. The planner starts one if the known
	// holders of a chunk refuse it.
	unannounced map[FetchID]bool
}

const eventInterval = 11 * time.Minute // longer than any quarantine or backoff

func newReferenceModel(limits Limits, chunks int) *referenceModel {
	return &referenceModel{
		limits: limits, chunks: chunks, have: make(map[int]bool),
		announced: make(map[core.HostID]map[int]bool), refused: make(map[core.HostID]map[int]bool),
		activeFetches: make(map[FetchID]FetchChunk), unannounced: make(map[FetchID]bool),
	}
}

func (m *referenceModel) beingFetched(chunk int) bool {
	for _, f := range m.activeFetches {
		if f.Index == chunk {
			return true
		}
	}
	return false
}

func (m *referenceModel) activeFetchCount(host core.HostID) int {
	count := 0
	for _, f := range m.activeFetches {
		if f.Source == host {
			count++
		}
	}
	return count
}

func (m *referenceModel) copies(chunk int) int {
	count := 0
	for _, chunks := range m.announced {
		if chunks[chunk] {
			count++
		}
	}
	return count
}

// choices returns the chunks that may be fetched now, each with its usable holders. The peers in unusable are left out.
func (m *referenceModel) choices(unusable map[core.HostID]bool) map[int][]core.HostID {
	choices := make(map[int][]core.HostID)
	for host, chunks := range m.announced {
		if m.activeFetchCount(host) >= m.limits.MaxDownloadsPerPeer || unusable[host] {
			continue
		}
		for chunk := range chunks {
			if !m.have[chunk] && !m.beingFetched(chunk) {
				choices[chunk] = append(choices[chunk], host)
			}
		}
	}
	return choices
}

// checkFetch checks that the fetch takes a rarest chunk from its least busy holder. Fetches from the origin are always
// allowed, and from a host that did not announce the chunk only if there is no other choice.
func (m *referenceModel) checkFetch(t *rapid.T, f FetchChunk, unusable map[core.HostID]bool) {
	choices := m.choices(unusable)
	if m.have[f.Index] || m.beingFetched(f.Index) {
		t.Fatalf("chunk %d is already held or being fetched", f.Index)
	}
	if f.Source == "" {
		return
	}
	if !m.announced[f.Source][f.Index] {
		if len(choices) > 0 {
			t.Fatalf("chunk %d was requested from %s, which did not announce it, although %v are available", f.Index, f.Source, choices)
		}
		return
	}
	for chunk := range choices {
		if m.copies(chunk) < m.copies(f.Index) {
			t.Fatalf("chunk %d with %d copies was chosen before chunk %d with %d copies", f.Index, m.copies(f.Index), chunk, m.copies(chunk))
		}
	}
	for _, host := range choices[f.Index] {
		if m.activeFetchCount(host) < m.activeFetchCount(f.Source) {
			t.Fatalf("%s has fewer active fetches than the chosen host %s", host, f.Source)
		}
	}
	if m.activeFetchCount(f.Source) >= m.limits.MaxDownloadsPerPeer {
		t.Fatalf("%s already has the maximum number of fetches", f.Source)
	}
}

// applyEffects checks the planner's effects and applies them to the model.
func (m *referenceModel) applyEffects(t *rapid.T, effects []reduce.Effect, unusable map[core.HostID]bool) {
	for _, effect := range effects {
		if f, ok := effect.(FetchChunk); ok {
			m.checkFetch(t, f, unusable)
			m.activeFetches[f.FetchID] = f
			m.unannounced[f.FetchID] = !m.announced[f.Source][f.Index]
		}
	}
	if len(m.activeFetches) < m.limits.MaxDownloads && len(m.choices(unusable)) > 0 {
		t.Fatalf("the planner starts no further fetch although %v are available", m.choices(unusable))
	}
}

// endFetch applies the end of a fetch to the model and returns the peers that must not be used in the next step.
func (m *referenceModel) endFetch(f FetchChunk, result Result) map[core.HostID]bool {
	delete(m.activeFetches, f.FetchID)
	unusable := map[core.HostID]bool{f.Source: true}
	switch {
	case result == Verified:
		m.have[f.Index] = true
		return nil
	case f.Source == "":
		return nil
	case result == Busy:
		return unusable
	case result == ChunkLimitReached:
		delete(m.announced[f.Source], f.Index)
		if m.refused[f.Source] == nil {
			m.refused[f.Source] = make(map[int]bool)
		}
		m.refused[f.Source][f.Index] = true
		return nil
	case result == NotWanted:
		delete(m.announced, f.Source)
		delete(m.refused, f.Source)
		return unusable
	case result == Missing && m.unannounced[f.FetchID]:
		return unusable
	default:
		delete(m.announced, f.Source)
		delete(m.refused, f.Source)
		return unusable
	}
}

// TestMain fixes the seed of the generated cases, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20264")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestFetchesMatchReferenceModel sends random chunk maps and results to a planner and checks every fetch against the
// reference model.
func TestFetchesMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		limits.OriginFallbackTimeout, limits.TakeoverTimeout = 1e6*time.Hour, 1e6*time.Hour // never
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		chunks := rapid.IntRange(1, 90).Draw(t, "chunks")
		planner := New(Peer{Host: "self", Region: "r"}, limits, rapid.Uint64().Draw(t, "seed"))
		model := newReferenceModel(limits, chunks)
		now := time.Duration(0)
		step := func(event reduce.Event, excluded map[core.HostID]bool) {
			model.applyEffects(t, planner.Step(event), excluded)
		}
		var peers []Peer
		for i := range hosts {
			peers = append(peers, Peer{Host: core.HostID(fmt.Sprintf("h%d", i)), Region: "r"})
		}
		step(PeersChanged{Peers: peers}, nil)
		step(VersionsChanged{Versions: []Version{testVersion("v", chunks, 1)}}, nil)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += eventInterval
			if len(model.activeFetches) > 0 && rapid.Bool().Draw(t, "ends") {
				f := model.activeFetches[rapid.SampledFrom(sortedIDs(model.activeFetches)).Draw(t, "fetch")]
				result := rapid.SampledFrom([]Result{Verified, Verified, Busy, ChunkLimitReached, NotWanted, Missing, Corrupt, Stalled}).Draw(t, "result")
				excluded := model.endFetch(f, result)
				step(FetchEnded{Timestamp: Timestamp{Now: now}, FetchID: f.FetchID, Result: result}, excluded)
				continue
			}
			host := rapid.SampledFrom(peers).Draw(t, "host").Host
			have := NewBitmap(chunks)
			model.announced[host] = make(map[int]bool)
			for i := range chunks {
				if rapid.Bool().Draw(t, "has") {
					have.Set(i)
					model.announced[host][i] = !model.refused[host][i]
				}
				if !model.announced[host][i] {
					delete(model.announced[host], i)
				}
			}
			step(ChunkMapReceived{Timestamp: Timestamp{Now: now}, IsReply: true, Host: host, Version: "v", Have: have}, nil)
		}
	})
}

func sortedIDs(fetches map[FetchID]FetchChunk) []FetchID {
	return slices.Sorted(maps.Keys(fetches))
}
