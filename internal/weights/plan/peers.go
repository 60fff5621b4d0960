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
	asideLongest = 10 * time.Minute
	asideDoubles = 5 // doublings until asideLongest
)

// peer is what a planner knows of another host.
type peer struct {
	Peer
	hash      uint64
	near      bool // in this host's region
	fetching  int
	faults    int
	aside     time.Duration // put aside until then
	backoff   time.Duration // not asked until then
	refusals  int           // for being busy, in a row
	mapFailed int
}

// gateway is a host of a region that fetches from the origin; a nil peer is this host.
type gateway struct {
	peer  *peer
	hash  uint64
	score uint64
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// score is the rendezvous weight of the pair.
func score(a, b uint64) uint64 { return mix(a ^ bits.RotateLeft64(b, 32) ^ b) }

func (p *Planner) rosterChanged(live []Peer) {
	sorted := slices.SortedFunc(slices.Values(live), func(a, b Peer) int { return strings.Compare(string(a.Host), string(b.Host)) })
	listed := make(map[core.HostID]*peer, len(sorted))
	p.order = p.order[:0]
	for _, entry := range sorted {
		if entry.Host == p.self.Host {
			continue
		}
		known := p.peers[entry.Host]
		if known == nil {
			known = newPeer(entry, p.self.Region)
		}
		listed[entry.Host] = known
		p.order = append(p.order, known)
	}
	gone := p.peers
	p.peers = listed
	for _, f := range append([]*fetch(nil), p.underway...) {
		if f.source != nil && listed[f.source.Host] == nil {
			p.emit(CancelFetch{Fetch: f.id})
			p.forget(f)
		}
	}
	for host, old := range gone {
		if listed[host] == nil {
			p.forgetMaps(old)
		}
	}
	for _, v := range p.versions {
		p.electGateways(v)
	}
	p.chooseNeighbours()
}

func newPeer(entry Peer, region core.Region) *peer {
	return &peer{
		Peer: entry,
		hash: xxhash.Sum64String(string(entry.Host)),
		near: entry.Region == region,
	}
}

// forgetMaps takes the peer's chunks out of the counts.
func (p *Planner) forgetMaps(old *peer) {
	for _, v := range p.versions {
		p.forgetMap(v, old)
	}
}

func (p *Planner) forgetMap(v *version, old *peer) {
	h := v.holdings[old]
	if h == nil {
		return
	}
	v.countMap(h.have, nil)
	delete(v.holdings, old)
	v.known = slices.DeleteFunc(v.known, func(other *holding) bool { return other == h })
}

// chooseNeighbours picks the peers of this region that this host sends maps to. The region's hosts stand in a ring by
// their hashes, and each chooses those at distances that grow as powers up to the ring's size: every host is chosen as
// often as it chooses, and news passes the ring in few steps. A peer that is put aside gives its place to the next.
func (p *Planner) chooseNeighbours() {
	own := xxhash.Sum64String(string(p.self.Host))
	var ring []*peer
	p.chosen = p.chosen[:0]
	for _, other := range p.order {
		if other.near && other.aside <= p.now {
			ring = append(ring, other)
		}
	}
	slices.SortFunc(ring, func(a, b *peer) int { return cmp.Compare(a.hash-own, b.hash-own) })
	count := min(p.limits.Neighbours, len(ring))
	growth := math.Pow(float64(len(ring)), 1/float64(max(1, count)))
	step, taken := 1.0, 0
	for range count {
		taken = max(taken+1, int(step))
		p.chosen = append(p.chosen, ring[min(taken, len(ring))-1])
		step *= growth
	}
}

// electGateways picks by rendezvous hashing the hosts of this region that fetch the version from the origin, and the
// first of them for each chunk. A gateway exchanges maps with the other gateways.
func (p *Planner) electGateways(v *version) {
	key := versionKey(v.id)
	own := xxhash.Sum64String(string(p.self.Host))
	v.gateways = p.rankRegion(key, p.self.Region)
	v.gateways = append(v.gateways, gateway{hash: own, score: score(key, own)})
	slices.SortFunc(v.gateways, func(a, b gateway) int { return cmp.Compare(b.score, a.score) })
	v.gateways = v.gateways[:min(p.gatewayCount(), len(v.gateways))]
	v.first = p.assignChunks(v, v.gateways)
	if p.limits.OneDraw {
		p.assignRegions(v)
	}
}

// assignChunks gives each chunk to its best gateway that has not got its even share yet: the gateways of a region part
// a link evenly, so the one with the most chunks ends last.
func (p *Planner) assignChunks(v *version, gateways []gateway) []int32 {
	first := make([]int32, len(v.keys))
	share := (len(first) + len(gateways) - 1) / len(gateways)
	loads := make([]int, len(gateways))
	var full uint64
	for i := range first {
		at := p.rankChunk(v, i, gateways, full)
		first[i] = int32(at)
		loads[at]++
		if loads[at] == share && at < wordBits {
			full |= 1 << at
		}
	}
	return first
}

func (p *Planner) gatewayCount() int {
	if p.limits.Gateways <= 0 {
		return len(p.order) + 1
	}
	return p.limits.Gateways
}

// rankRegion returns the peers of the region, best score first.
func (p *Planner) rankRegion(key uint64, region core.Region) []gateway {
	var ranked []gateway
	for _, other := range p.order {
		if other.Region == region {
			ranked = append(ranked, gateway{peer: other, hash: other.hash, score: score(key, other.hash)})
		}
	}
	slices.SortFunc(ranked, func(a, b gateway) int { return cmp.Compare(b.score, a.score) })
	return ranked
}

// rankChunk returns the index of the gateway that comes first for the chunk among those not in the skipped set.
func (p *Planner) rankChunk(v *version, chunk int, gateways []gateway, skipped uint64) int {
	best, bestScore := -1, uint64(0)
	key := v.keys[chunk]
	for i := range gateways {
		if i < wordBits && skipped>>i&1 == 1 {
			continue
		}
		if s := score(key, gateways[i].hash); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// putAside keeps this host from asking the peer for a while, longer with each fault.
func (p *Planner) putAside(other *peer) {
	span := min(p.limits.Aside<<min(other.faults, asideDoubles), asideLongest)
	other.faults++
	other.aside = p.now + span
	p.forgetMaps(other)
	if slices.Contains(p.chosen, other) {
		p.chooseNeighbours()
	}
}

func (p *Planner) mapFailed(host core.HostID) {
	other := p.peers[host]
	if other == nil {
		return
	}
	other.mapFailed++
	if other.mapFailed >= mapFailures {
		other.mapFailed = 0
		p.putAside(other)
	}
}
