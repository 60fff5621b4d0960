package plan

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
)

// assignRegions gives each chunk to one region by rendezvous hashing. The chunk's gateway there is the only one that
// draws it from the origin; the gateways of the other regions get it from that one.
func (p *Planner) assignRegions(v *version) {
	key := versionKey(v.id)
	regions := append(p.farRegions(), p.self.Region)
	slices.Sort(regions)
	gateways := make(map[core.Region][]gateway, len(regions))
	first := make(map[core.Region][]int32, len(regions))
	for _, region := range regions {
		if region == p.self.Region {
			continue
		}
		ranked := p.rankRegion(key, region)
		gateways[region] = ranked[:min(p.gatewayCount(), len(ranked))]
		first[region] = p.assignChunks(v, gateways[region])
	}
	v.far = make([]*peer, len(v.keys))
	for i := range v.far {
		if region := regionOf(v.keys[i], regions); region != p.self.Region {
			v.far[i] = gateways[region][first[region][i]].peer
		}
	}
}

// regionOf returns the region with the best score for the chunk.
func regionOf(chunk uint64, regions []core.Region) core.Region {
	best, bestScore := regions[0], uint64(0)
	for _, region := range regions {
		if s := score(chunk, xxhash.Sum64String(string(region))); s > bestScore {
			best, bestScore = region, s
		}
	}
	return best
}

// farGateway returns the gateway of another region that fetches the chunk first, or nil.
func (v *version) farGateway(chunk int) *peer {
	if v.far == nil {
		return nil
	}
	return v.far[chunk]
}

// healthy tells whether the peer gave no cause for leaving it alone.
func (p *Planner) healthy(other *peer) bool {
	return other.aside <= p.now && other.backoff <= p.now
}

// farBusy tells whether the chunk has to come from another region's gateway that is asked for enough at the moment.
func (p *Planner) farBusy(v *version, chunk int) bool {
	other := v.farGateway(chunk)
	return other != nil && p.healthy(other) && other.fetching >= p.limits.PerPeer
}

// startGateway asks the gateway of a missing chunk whose turn at the origin has come. It answers once it holds it.
func (p *Planner) startGateway(v *version) bool {
	if !p.limits.AskGateways {
		return false
	}
	skipped := p.stalledGateways(v)
	for i := range v.first {
		if v.have.Has(i) || v.pending.Has(i) || !v.hasTurn(i, p.now) {
			continue
		}
		if source := p.fetcher(v, i, skipped); source != nil && p.usable(source) {
			p.startFetch(v, i, source, false)
			return true
		}
	}
	return false
}
