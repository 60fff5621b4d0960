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

// naive keeps, in plain maps, what a planner may know, and lists what it may choose.
type naive struct {
	limits   Limits
	chunks   int
	have     map[int]bool
	offers   map[core.HostID]map[int]bool // last maps, without what was refused
	refused  map[core.HostID]map[int]bool
	underway map[FetchID]FetchChunk
	strange  map[FetchID]bool // fetches of chunks that their source had not announced
}

const eventGap = 11 * time.Minute // longer than any peer is put aside or backed off from

func newNaive(limits Limits, chunks int) *naive {
	return &naive{
		limits: limits, chunks: chunks, have: make(map[int]bool),
		offers: make(map[core.HostID]map[int]bool), refused: make(map[core.HostID]map[int]bool),
		underway: make(map[FetchID]FetchChunk), strange: make(map[FetchID]bool),
	}
}

func (n *naive) pending(chunk int) bool {
	for _, f := range n.underway {
		if f.Index == chunk {
			return true
		}
	}
	return false
}

func (n *naive) fetching(host core.HostID) int {
	count := 0
	for _, f := range n.underway {
		if f.Source == host {
			count++
		}
	}
	return count
}

func (n *naive) copies(chunk int) int {
	count := 0
	for _, offer := range n.offers {
		if offer[chunk] {
			count++
		}
	}
	return count
}

// choices returns for each chunk that may be fetched now its holders.
func (n *naive) choices(aside map[core.HostID]bool) map[int][]core.HostID {
	choices := make(map[int][]core.HostID)
	for host, offer := range n.offers {
		if n.fetching(host) >= n.limits.PerPeer || aside[host] {
			continue
		}
		for chunk := range offer {
			if !n.have[chunk] && !n.pending(chunk) {
				choices[chunk] = append(choices[chunk], host)
			}
		}
	}
	return choices
}

// check holds one fetch against the choices: it must be a rarest chunk from a least used holder.
func (n *naive) check(t *rapid.T, f FetchChunk, aside map[core.HostID]bool) {
	choices := n.choices(aside)
	if n.have[f.Index] || n.pending(f.Index) {
		t.Fatalf("chunk %d is held or being fetched already", f.Index)
	}
	if f.Source == "" {
		return
	}
	if !n.offers[f.Source][f.Index] {
		if len(choices) > 0 {
			t.Fatalf("chunk %d was asked of %s, which did not announce it, while %v could be had", f.Index, f.Source, choices)
		}
		return
	}
	for chunk := range choices {
		if n.copies(chunk) < n.copies(f.Index) {
			t.Fatalf("chunk %d with %d copies was chosen before chunk %d with %d", f.Index, n.copies(f.Index), chunk, n.copies(chunk))
		}
	}
	for _, host := range choices[f.Index] {
		if n.fetching(host) < n.fetching(f.Source) {
			t.Fatalf("%s is less used than %s", host, f.Source)
		}
	}
	if n.fetching(f.Source) >= n.limits.PerPeer {
		t.Fatalf("%s is used more than it may be", f.Source)
	}
}

// take follows the planner's effects.
func (n *naive) take(t *rapid.T, effects []reduce.Effect, aside map[core.HostID]bool) {
	for _, effect := range effects {
		if f, ok := effect.(FetchChunk); ok {
			n.check(t, f, aside)
			n.underway[f.Fetch] = f
			n.strange[f.Fetch] = !n.offers[f.Source][f.Index]
		}
	}
	if len(n.underway) < n.limits.Downloads && len(n.choices(aside)) > 0 {
		t.Fatalf("nothing is fetched though %v could be had", n.choices(aside))
	}
}

// end follows the end of a fetch and returns the peers that are put aside by it.
func (n *naive) end(f FetchChunk, result Result) map[core.HostID]bool {
	delete(n.underway, f.Fetch)
	aside := map[core.HostID]bool{f.Source: true}
	switch {
	case result == Verified:
		n.have[f.Index] = true
		return nil
	case f.Source == "":
		return nil
	case result == Busy:
		return aside
	case result == GivenOut:
		delete(n.offers[f.Source], f.Index)
		if n.refused[f.Source] == nil {
			n.refused[f.Source] = make(map[int]bool)
		}
		n.refused[f.Source][f.Index] = true
		return nil
	case result == Dropped:
		delete(n.offers, f.Source)
		delete(n.refused, f.Source)
		return aside
	case result == Missing && n.strange[f.Fetch]:
		return aside
	default:
		delete(n.offers, f.Source)
		delete(n.refused, f.Source)
		return aside
	}
}

// TestMain fixes the seed of the random cases.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20264")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestChoiceAgreesWithNaive drives a planner by random maps and results and holds each choice against a naive version.
func TestChoiceAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		limits.LastResort, limits.Takeover = 1e6*time.Hour, 1e6*time.Hour
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		chunks := rapid.IntRange(1, 90).Draw(t, "chunks")
		planner := New(Peer{Host: "self", Region: "r"}, limits, rapid.Uint64().Draw(t, "seed"))
		n := newNaive(limits, chunks)
		now := time.Duration(0)
		step := func(event reduce.Event, aside map[core.HostID]bool) { n.take(t, planner.Step(event), aside) }
		var peers []Peer
		for i := range hosts {
			peers = append(peers, Peer{Host: core.HostID(fmt.Sprintf("h%d", i)), Region: "r"})
		}
		step(RosterChanged{Peers: peers}, nil)
		step(VersionsWanted{Versions: []Version{fakeVersion("v", chunks, 1)}}, nil)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += eventGap
			if len(n.underway) > 0 && rapid.Bool().Draw(t, "ends") {
				f := n.underway[rapid.SampledFrom(sortedIDs(n.underway)).Draw(t, "fetch")]
				result := rapid.SampledFrom([]Result{Verified, Verified, Busy, GivenOut, Dropped, Missing, Corrupt, Stalled}).Draw(t, "result")
				aside := n.end(f, result)
				step(FetchEnded{Stamp: Stamp{Now: now}, Fetch: f.Fetch, Result: result}, aside)
				continue
			}
			host := rapid.SampledFrom(peers).Draw(t, "host").Host
			have := NewBitmap(chunks)
			n.offers[host] = make(map[int]bool)
			for i := range chunks {
				if rapid.Bool().Draw(t, "has") {
					have.Set(i)
					n.offers[host][i] = !n.refused[host][i]
				}
				if !n.offers[host][i] {
					delete(n.offers[host], i)
				}
			}
			step(MapReceived{Stamp: Stamp{Now: now}, Asked: true, Host: host, Version: "v", Have: have}, nil)
		}
	})
}

func sortedIDs(underway map[FetchID]FetchChunk) []FetchID {
	return slices.Sorted(maps.Keys(underway))
}
