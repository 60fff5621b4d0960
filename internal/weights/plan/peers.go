package plan

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	maxQuarantine          = 10 * time.Minute
	maxQuarantineDoublings = 5 // avoids overflow of the shift
)

// peerState is the state of another host.
type peerState struct {
	Peer
	hash             uint64
	sameRegion       bool // is in this host's region
	activeFetches    int
	faultCount       int
	quarantinedUntil time.Duration // after a fault
	backoffUntil     time.Duration // after a refusal
	busyCount        int           // consecutive Busy results
	chunkMapFailures int
}

// originFetcher is a host that fetches from the origin for its region. A nil peer means this host.
type originFetcher struct {
	peer  *peerState
	hash  uint64
	score uint64
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvousScore returns the rendezvous hashing score of the pair.
func rendezvousScore(a, b uint64) uint64 { return mix64(a ^ bits.RotateLeft64(b, 32) ^ b) }

func (p *Planner) peersChanged(live []Peer) {
	sorted := slices.SortedFunc(slices.Values(live), func(a, b Peer) int { return strings.Compare(string(a.Host), string(b.Host)) })
	current := make(map[core.HostID]*peerState, len(sorted))
	p.sortedPeers = p.sortedPeers[:0]
	for _, entry := range sorted {
		if entry.Host == p.self.Host {
			continue
		}
		state := p.peers[entry.Host]
		if state == nil {
			state = newPeer(entry, p.self.Region)
		}
		current[entry.Host] = state
		p.sortedPeers = append(p.sortedPeers, state)
	}
	previous := p.peers
	p.peers = current
	for _, f := range append([]*fetch(nil), p.activeFetches...) {
		if f.source != nil && current[f.source.Host] == nil {
			p.emit(CancelFetch{FetchID: f.id})
			p.removeFetch(f)
		}
	}
	for host, old := range previous {
		if current[host] == nil {
			p.removeHoldings(old)
		}
	}
	for _, v := range p.versions {
		p.electOriginFetchers(v)
	}
	p.chooseNeighbours()
}

func newPeer(entry Peer, region core.Region) *peerState {
	return &peerState{
		Peer:       entry,
		hash:       xxhash.Sum64String(string(entry.Host)),
		sameRegion: entry.Region == region,
	}
}

// removeHoldings forgets which chunks the peer said it holds, for all versions.
func (p *Planner) removeHoldings(removed *peerState) {
	for _, v := range p.versions {
		p.removeHolding(v, removed)
	}
}

func (p *Planner) removeHolding(v *version, removed *peerState) {
	h := v.holdings[removed]
	if h == nil {
		return
	}
	v.updateCopies(h.have, nil)
	delete(v.holdings, removed)
	v.holdingList = slices.DeleteFunc(v.holdingList, func(other *holding) bool { return other == h })
}

// chooseNeighbours selects the peers of this region that this host sends chunk maps to. The hosts of a region form a
// ring ordered by hash, and each selects those at exponentially growing distances. So each host has as many hosts
// sending to it as it sends to, and chunk maps spread around the ring in few steps. Quarantined peers are left out of
// the ring.
func (p *Planner) chooseNeighbours() {
	selfHash := xxhash.Sum64String(string(p.self.Host))
	var ring []*peerState
	p.neighbours = p.neighbours[:0]
	for _, other := range p.sortedPeers {
		if other.sameRegion && other.quarantinedUntil <= p.now {
			ring = append(ring, other)
		}
	}
	slices.SortFunc(ring, func(a, b *peerState) int { return cmp.Compare(a.hash-selfHash, b.hash-selfHash) })
	count := min(p.limits.Neighbours, len(ring))
	growth := math.Pow(float64(len(ring)), 1/float64(max(1, count)))
	nextDistance, distance := 1.0, 0
	for range count {
		distance = max(distance+1, int(nextDistance))
		p.neighbours = append(p.neighbours, ring[min(distance, len(ring))-1])
		nextDistance *= growth
	}
}

// electOriginFetchers selects, by rendezvous hashing, the hosts of this region that fetch the version from the origin,
// and assigns one of them to each chunk. They also exchange chunk maps with each other; see originFetcherTargets.
func (p *Planner) electOriginFetchers(v *version) {
	key := versionHash(v.id)
	selfHash := xxhash.Sum64String(string(p.self.Host))
	v.originFetchers = p.rankPeers(key, p.self.Region)
	v.originFetchers = append(v.originFetchers, originFetcher{hash: selfHash, score: rendezvousScore(key, selfHash)})
	slices.SortFunc(v.originFetchers, func(a, b originFetcher) int { return cmp.Compare(b.score, a.score) })
	v.originFetchers = v.originFetchers[:min(p.originFetchersPerRegion(), len(v.originFetchers))]
	v.chunkFetchers = p.assignChunks(v, v.originFetchers)
	if p.limits.SingleOriginFetch {
		p.assignRegions(v)
	}
}

// assignChunks returns for each chunk the index of its origin fetcher. Each chunk goes to the fetcher that scores best
// for it among those with room left. A fetcher takes at most ceil(chunks/fetchers), because they share one link equally
// and the fullest one would finish last.
func (p *Planner) assignChunks(v *version, fetchers []originFetcher) []int32 {
	assigned := make([]int32, len(v.chunkHashes))
	maxChunks := (len(assigned) + len(fetchers) - 1) / len(fetchers)
	chunkCounts := make([]int, len(fetchers))
	var fullFetchers uint64
	for i := range assigned {
		best := p.bestOriginFetcher(v, i, fetchers, fullFetchers)
		assigned[i] = int32(best)
		chunkCounts[best]++
		if chunkCounts[best] == maxChunks && best < wordBits { // the limit does not apply to fetchers beyond the bits of a word
			fullFetchers |= 1 << best
		}
	}
	return assigned
}

func (p *Planner) originFetchersPerRegion() int {
	if p.limits.OriginFetchersPerRegion <= 0 {
		return len(p.sortedPeers) + 1
	}
	return p.limits.OriginFetchersPerRegion
}

// rankPeers returns the peers of the region, best score first.
func (p *Planner) rankPeers(key uint64, region core.Region) []originFetcher {
	var ranked []originFetcher
	for _, other := range p.sortedPeers {
		if other.Region == region {
			ranked = append(ranked, originFetcher{peer: other, hash: other.hash, score: rendezvousScore(key, other.hash)})
		}
	}
	slices.SortFunc(ranked, func(a, b originFetcher) int { return cmp.Compare(b.score, a.score) })
	return ranked
}

// bestOriginFetcher returns the index of the fetcher with the best score for the chunk. Fetchers whose bit is set in
// excluded are ignored. It returns -1 if none is left.
func (p *Planner) bestOriginFetcher(v *version, chunk int, fetchers []originFetcher, excluded uint64) int {
	best, bestScore := -1, uint64(0)
	key := v.chunkHashes[chunk]
	for i := range fetchers {
		if i < wordBits && excluded>>i&1 == 1 {
			continue
		}
		if s := rendezvousScore(key, fetchers[i].hash); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// quarantine takes the peer out of use as a source and neighbour for a period that doubles with each fault, and
// discards its chunk maps.
func (p *Planner) quarantine(other *peerState) {
	period := min(p.limits.QuarantinePeriod<<min(other.faultCount, maxQuarantineDoublings), maxQuarantine)
	other.faultCount++
	other.quarantinedUntil = p.now + period
	p.removeHoldings(other)
	if slices.Contains(p.neighbours, other) {
		p.chooseNeighbours()
	}
}

func (p *Planner) chunkMapFailed(host core.HostID) {
	other := p.peers[host]
	if other == nil {
		return
	}
	other.chunkMapFailures++
	if other.chunkMapFailures >= maxChunkMapFailures {
		other.chunkMapFailures = 0
		p.quarantine(other)
	}
}
