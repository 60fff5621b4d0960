package plan

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
)

// assignRegions assigns each chunk to one region by rendezvous hashing. Only the chunk's origin fetcher in
// that region fetches it from the origin. The origin fetchers of the other regions fetch it from that host. Each takeover
// passes the chunks to their next regions, so that no region waits for good for a host that never has a chunk.
func (p *Planner) assignRegions(v *version) {
	key := versionHash(v.id)
	regions := append(p.otherRegions(), p.self.Region)
	slices.Sort(regions)
	fetchers := make(map[core.Region][]originFetcher, len(regions))
	assigned := make(map[core.Region][]int32, len(regions))
	for _, region := range regions {
		if region == p.self.Region {
			continue
		}
		ranked := p.rankPeers(key, region)
		fetchers[region] = ranked[:min(p.originFetchersPerRegion(), len(ranked))]
		assigned[region] = p.assignChunks(v, fetchers[region])
	}
	v.remoteFetchers = make([]*peerState, len(v.chunkHashes))
	for i := range v.remoteFetchers {
		if region := assignedRegion(v.chunkHashes[i], regions, v.takeovers); region != p.self.Region {
			v.remoteFetchers[i] = fetchers[region][assigned[region][i]].peer
		}
	}
}

// assignedRegion returns the region of the chunk after the given number of takeovers. At first it is the one with the best score.
func assignedRegion(chunk uint64, regions []core.Region, takeovers int) core.Region {
	score := func(region core.Region) uint64 { return rendezvousScore(chunk, xxhash.Sum64String(string(region))) }
	ranked := slices.Clone(regions)
	slices.SortFunc(ranked, func(a, b core.Region) int { return cmp.Compare(score(b), score(a)) })
	return ranked[takeovers%len(ranked)]
}

// remoteFetcher returns the origin fetcher of another region that the chunk is fetched from, or nil if this region uses
// the origin, also because that host is quarantined or does not have the chunk by this host's digest.
func (p *Planner) remoteFetcher(v *version, chunk int) *peerState {
	if v.remoteFetchers == nil {
		return nil
	}
	other := v.remoteFetchers[chunk]
	if other == nil || other.quarantinedUntil > p.now || p.refusedBy(v, other, chunk) {
		return nil
	}
	return other
}

// remoteFetcherBusy reports whether the chunk has to be fetched from an origin fetcher of another region that already
// has the maximum number of fetches from this host, or that has just refused one because it lacks the chunk itself.
func (p *Planner) remoteFetcherBusy(v *version, chunk int) bool {
	other := p.remoteFetcher(v, chunk)
	return other != nil && !p.canFetchFrom(other)
}

// startAssignedFetch requests a missing chunk that is due at the origin from its origin fetcher, even if that host has
// not announced it. The origin fetcher responds once it has the chunk. It returns false if no fetch was started.
func (p *Planner) startAssignedFetch(v *version) bool {
	if !p.limits.RequestUnannounced {
		return false
	}
	stalledFetchers := p.stalledOriginFetchers(v)
	due := p.chunksDueAtOrigin(v)
	for i := range v.chunkFetchers {
		if v.have.Has(i) || v.pending.Has(i) || i >= due {
			continue
		}
		if source := p.assignedFetcher(v, i, stalledFetchers); source != nil && p.canFetchFrom(source) {
			p.startFetch(v, i, source, false)
			return true
		}
	}
	return false
}
