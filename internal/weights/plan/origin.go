package plan

import (
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// startOrigin fetches a chunk from the origin if this host is the chunk's gateway, or if it has made no progress for
// long. While the origin fails, the gateways of other regions are asked.
func (p *Planner) startOrigin(v *version) bool {
	chunk := p.originChunk(v)
	if chunk < 0 {
		return false
	}
	if source := v.farGateway(chunk); source != nil && p.healthy(source) {
		p.startFetch(v, chunk, source, false)
		return true
	}
	if p.origin.backoff <= p.now {
		if p.origin.underway >= p.originSlots() {
			return false
		}
		p.startFetch(v, chunk, nil, false)
		return true
	}
	source := p.farSource(v, chunk)
	if source == nil || p.asking >= askStrangers || p.now < p.askDue {
		return false
	}
	p.startFetch(v, chunk, source, false)
	return true
}

func (p *Planner) originSlots() int {
	if p.remote() {
		return 1
	}
	return p.limits.OriginDownloads
}

// originChunk returns the next chunk that this host has to fetch from outside its region, or -1.
func (p *Planner) originChunk(v *version) int {
	desperate := p.now-v.progress >= p.limits.LastResort+time.Duration(p.seed%uint64(p.limits.LastResort+1))
	if !desperate && (!p.isGateway(v) || p.joining(v)) {
		return -1
	}
	offset := int(p.seed % uint64(len(v.first)))
	skipped := p.stalledGateways(v)
	stuck := desperate || p.now-v.progress > p.takeover(v)
	offered, given := p.offeredChunks(v), p.refusedChunks(v)
	strangers := p.hasStrangers(v) || p.now-p.refusedAt < p.limits.MissBackoff
	for n := range v.first {
		i := (offset + n) % len(v.first)
		if v.have.Has(i) || v.pending.Has(i) || !v.hasTurn(i, p.now) || !stuck && (offered.Has(i) || strangers && given.Has(i)) {
			continue
		}
		if desperate || p.fetcher(v, i, skipped) == nil && !p.farBusy(v, i) {
			return i
		}
	}
	return -1
}

// hasTurn tells whether the chunk may be drawn from the origin already.
func (v *version) hasTurn(chunk int, now time.Duration) bool {
	return now >= v.start+time.Duration(chunk)*v.originGap
}

// joining tells whether hosts that have to hold the version may only not be heard of yet: a host that has just started
// would take itself for the only gateway.
func (p *Planner) joining(v *version) bool {
	if p.now-v.start >= p.limits.JoinPatience {
		return false
	}
	near := 1
	for _, other := range p.order {
		if other.near {
			near++
		}
	}
	return near < v.hosts
}

// offeredChunks returns the chunks that some peer of the region gives to this host, now or later.
func (p *Planner) offeredChunks(v *version) Bitmap {
	offered := make(Bitmap, len(v.have))
	for _, h := range v.known {
		if !h.peer.near || h.spent > p.now {
			continue
		}
		for w := range offered {
			offered[w] |= h.have[w]
		}
	}
	return offered
}

// hasStrangers tells whether the region has peers that this host has no map of and that are not put aside.
func (p *Planner) hasStrangers(v *version) bool {
	return slices.ContainsFunc(p.order, func(other *peer) bool {
		return other.near && other.aside <= p.now && v.holdings[other] == nil
	})
}

// fetcher returns the gateway that has to fetch the chunk; nil is this host. Gateways that stall or that refuse the
// chunk to this host are passed over.
func (p *Planner) fetcher(v *version, chunk int, skipped uint64) *peer {
	for i, g := range v.gateways {
		if g.peer != nil && i < wordBits && p.refusedBy(v, g.peer, chunk) {
			skipped |= 1 << i
		}
	}
	first := int(v.first[chunk])
	if first < wordBits && skipped>>first&1 == 1 {
		first = p.rankChunk(v, chunk, v.gateways, skipped)
	}
	return v.gateways[first].peer
}

// stalledGateways returns the set of gateways that are put aside or make no progress. This host never is.
func (p *Planner) stalledGateways(v *version) uint64 {
	var stalled uint64
	for i, g := range v.gateways {
		if g.peer == nil || i >= wordBits {
			continue
		}
		if g.peer.aside > p.now || p.now-max(v.start, v.advancedAt(g.peer)) > p.takeover(v) {
			stalled |= 1 << i
		}
	}
	return stalled
}

// takeover is the time without progress after which others fetch a gateway's chunks.
func (p *Planner) takeover(v *version) time.Duration {
	return max(p.limits.Takeover, p.originPatience(v, p.originRate())-p.limits.OriginPatience)
}

// advancedAt returns when the peer was last seen to gain a chunk.
func (v *version) advancedAt(other *peer) time.Duration {
	h := v.holdings[other]
	if h == nil {
		return 0
	}
	return h.advanced
}

// farSource returns the host of another region to ask for the chunk: the gateway that fetched it there, or after its
// refusal the next, or any other host.
func (p *Planner) farSource(v *version, chunk int) *peer {
	for _, region := range p.farRegions() {
		ranked := p.rankRegion(versionKey(v.id), region)
		gateways := min(p.gatewayCount(), len(ranked))
		if best := p.bestFar(v, chunk, ranked[:gateways]); best != nil {
			return best
		}
		if best := p.bestFar(v, chunk, ranked[gateways:]); best != nil {
			return best
		}
	}
	return nil
}

func (p *Planner) bestFar(v *version, chunk int, candidates []gateway) *peer {
	var best *peer
	bestScore := uint64(0)
	for _, g := range candidates {
		if !p.usable(g.peer) || p.refusedBy(v, g.peer, chunk) {
			continue
		}
		if s := score(v.keys[chunk], g.hash); best == nil || s > bestScore {
			best, bestScore = g.peer, s
		}
	}
	return best
}

func (p *Planner) refusedBy(v *version, other *peer, chunk int) bool {
	h := v.holdings[other]
	return h != nil && (h.refused.Has(chunk) || h.spent > p.now)
}

func (p *Planner) farRegions() []core.Region {
	var regions []core.Region
	for _, other := range p.order {
		if !other.near && !slices.Contains(regions, other.Region) {
			regions = append(regions, other.Region)
		}
	}
	return regions
}

func versionKey(id core.VersionID) uint64 { return weights.Digest(id).Hash() }
