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
	maxQuarantineDoublings = 5 // bounds the shift; the result is capped by maxQuarantine
)

// peer is the state of another host.
type peer struct {
	Peer
	hash             uint64
	sameRegion       bool // is in this host's region
	fetchCount       int
	faultCount       int
	quarantinedUntil time.Duration // after a fault
	backoffUntil     time.Duration // after a refusal
	busyCount        int           // consecutive Busy results
	mapFailureCount  int
}

// gateway is a host that fetches from the origin for its region. A nil peer means this host.
type gateway struct {
	peer  *peer
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
	current := make(map[core.HostID]*peer, len(sorted))
	p.sortedPeers = p.sortedPeers[:0]
	for _, entry := range sorted {
		if entry.Host == p.self.Host {
			continue
		}
		known := p.peers[entry.Host]
		if known == nil {
			known = newPeer(entry, p.self.Region)
		}
		current[entry.Host] = known
		p.sortedPeers = append(p.sortedPeers, known)
	}
	previous := p.peers
	p.peers = current
	for _, f := range append([]*fetch(nil), p.activeFetches...) {
		if f.source != nil && current[f.source.Host] == nil {
			p.emit(CancelFetch{Fetch: f.id})
			p.removeFetch(f)
		}
	}
	for host, old := range previous {
		if current[host] == nil {
			p.removeHoldings(old)
		}
	}
	for _, v := range p.versions {
		p.electGateways(v)
	}
	p.chooseNeighbours()
}

func newPeer(entry Peer, region core.Region) *peer {
	return &peer{
		Peer:       entry,
		hash:       xxhash.Sum64String(string(entry.Host)),
		sameRegion: entry.Region == region,
	}
}

// removeHoldings removes what the peer has announced of any version.
func (p *Planner) removeHoldings(removed *peer) {
	for _, v := range p.versions {
		p.removeHolding(v, removed)
	}
}

func (p *Planner) removeHolding(v *version, removed *peer) {
	h := v.holdings[removed]
	if h == nil {
		return
	}
	v.updateCopies(h.have, nil)
	delete(v.holdings, removed)
	v.holdingList = slices.DeleteFunc(v.holdingList, func(other *holding) bool { return other == h })
}

// chooseNeighbours selects the peers of this region that this host sends maps to. The hosts of a region form a ring
// ordered by hash, and each selects those at exponentially growing distances. So every host is selected as often as it
// selects others, and maps spread around the ring in few steps. The place of a quarantined peer goes to the next one.
func (p *Planner) chooseNeighbours() {
	selfHash := xxhash.Sum64String(string(p.self.Host))
	var ring []*peer
	p.neighbours = p.neighbours[:0]
	for _, other := range p.sortedPeers {
		if other.sameRegion && other.quarantinedUntil <= p.now {
			ring = append(ring, other)
		}
	}
	slices.SortFunc(ring, func(a, b *peer) int { return cmp.Compare(a.hash-selfHash, b.hash-selfHash) })
	count := min(p.limits.Neighbours, len(ring))
	growth := math.Pow(float64(len(ring)), 1/float64(max(1, count)))
	nextDistance, distance := 1.0, 0
	for range count {
		distance = max(distance+1, int(nextDistance))
		p.neighbours = append(p.neighbours, ring[min(distance, len(ring))-1])
		nextDistance *= growth
	}
}

// electGateways selects, by rendezvous hashing, the hosts of this region that fetch the version from the origin, and
// assigns one of them to each chunk. The gateways of a region also exchange maps with each other; see gatewayTargets.
func (p *Planner) electGateways(v *version) {
	key := versionHash(v.id)
	selfHash := xxhash.Sum64String(string(p.self.Host))
	v.gateways = p.rankPeers(key, p.self.Region)
	v.gateways = append(v.gateways, gateway{hash: selfHash, score: rendezvousScore(key, selfHash)})
	slices.SortFunc(v.gateways, func(a, b gateway) int { return cmp.Compare(b.score, a.score) })
	v.gateways = v.gateways[:min(p.gatewaysPerRegion(), len(v.gateways))]
	v.chunkGateways = p.assignChunks(v, v.gateways)
	if p.limits.SingleOriginFetch {
		p.assignRegions(v)
	}
}

// assignChunks returns for each chunk the index of its gateway. It is the one with the best score that does not have its
// even share of chunks yet: the gateways of a region share a link evenly, so the one with the most chunks finishes last.
func (p *Planner) assignChunks(v *version, gateways []gateway) []int32 {
	assigned := make([]int32, len(v.chunkHashes))
	maxChunks := (len(assigned) + len(gateways) - 1) / len(gateways)
	chunkCounts := make([]int, len(gateways))
	var full uint64
	for i := range assigned {
		best := p.bestGateway(v, i, gateways, full)
		assigned[i] = int32(best)
		chunkCounts[best]++
		if chunkCounts[best] == maxChunks && best < wordBits {
			full |= 1 << best
		}
	}
	return assigned
}

func (p *Planner) gatewaysPerRegion() int {
	if p.limits.GatewaysPerRegion <= 0 {
		return len(p.sortedPeers) + 1
	}
	return p.limits.GatewaysPerRegion
}

// rankPeers returns the peers of the region, best score first.
func (p *Planner) rankPeers(key uint64, region core.Region) []gateway {
	var ranked []gateway
	for _, other := range p.sortedPeers {
		if other.Region == region {
			ranked = append(ranked, gateway{peer: other, hash: other.hash, score: rendezvousScore(key, other.hash)})
		}
	}
	slices.SortFunc(ranked, func(a, b gateway) int { return cmp.Compare(b.score, a.score) })
	return ranked
}

// bestGateway returns the index of the gateway with the best score for the chunk. Gateways whose bit is set in skipped
// are ignored. It returns -1 if none is left.
func (p *Planner) bestGateway(v *version, chunk int, gateways []gateway, skipped uint64) int {
	best, bestScore := -1, uint64(0)
	key := v.chunkHashes[chunk]
	for i := range gateways {
		if i < wordBits && skipped>>i&1 == 1 {
			continue
		}
		if s := rendezvousScore(key, gateways[i].hash); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// quarantine excludes the peer for a period that doubles with each fault and discards its maps.
func (p *Planner) quarantine(other *peer) {
	period := min(p.limits.QuarantinePeriod<<min(other.faultCount, maxQuarantineDoublings), maxQuarantine)
	other.faultCount++
	other.quarantinedUntil = p.now + period
	p.removeHoldings(other)
	if slices.Contains(p.neighbours, other) {
		p.chooseNeighbours()
	}
}

func (p *Planner) mapFailed(host core.HostID) {
	other := p.peers[host]
	if other == nil {
		return
	}
	other.mapFailureCount++
	if other.mapFailureCount >= maxMapFailures {
		other.mapFailureCount = 0
		p.quarantine(other)
	}
}
