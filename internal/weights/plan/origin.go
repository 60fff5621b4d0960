package plan

import (
	"math/bits"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// startOriginFetch fetches a chunk from outside the region if this host is the chunk's origin fetcher, or if it has
// made no progress for a long time. The source is the chunk's remote origin fetcher if it has one, else the origin.
// While the origin is in backoff, hosts of other regions are used. It returns false if no fetch was started.
func (p *Planner) startOriginFetch(v *version) bool {
	if p.earlierVersionIsArriving(v) {
		return false
	}
	chunk := p.nextOriginChunk(v)
	if chunk < 0 {
		return false
	}
	if source := p.remoteFetcher(v, chunk); source != nil {
		p.startFetch(v, chunk, source, false)
		return true
	}
	if p.origin.backoffUntil <= p.now {
		if p.origin.activeFetches >= p.maxOriginFetches() {
			return false
		}
		p.startFetch(v, chunk, nil, false)
		return true
	}
	source := p.remoteSource(v, chunk)
	if source == nil || p.unannouncedFetches >= maxUnannouncedFetches || p.now < p.nextUnannouncedFetch {
		return false
	}
	p.startFetch(v, chunk, source, false)
	return true
}

// earlierVersionIsArriving reports whether the origin's link is needed for a version that is wanted before v: some of its chunks are at
// no host yet, and others arrive. Drawn together, both versions would be late; one after the other, the earlier one is served while
// the later one arrives.
func (p *Planner) earlierVersionIsArriving(v *version) bool {
	for _, earlier := range p.versions {
		if earlier == v {
			return false
		}
		if earlier.hasUnseenChunks() && p.now-earlier.latestProgress < p.takeoverTimeout(earlier) {
			return true
		}
	}
	return false
}

// hasUnseenChunks reports whether a chunk is at no host, as far as this one knows.
func (v *version) hasUnseenChunks() bool {
	for i, copies := range v.copies {
		if copies == 0 && !v.have.Has(i) {
			return true
		}
	}
	return false
}

func (p *Planner) maxOriginFetches() int {
	if p.originIsRemote() {
		return 1
	}
	return p.limits.MaxOriginDownloads
}

// nextOriginChunk returns the next chunk that this host has to fetch from outside its region, or -1.
func (p *Planner) nextOriginChunk(v *version) int {
	fallback := p.needsFallback(v)
	if !fallback && (!p.isOriginFetcher(v) || p.awaitingPeers(v)) {
		return -1
	}
	offset := int(p.seed % uint64(len(v.chunkFetchers)))
	stalledFetchers := p.stalledOriginFetchers(v)
	stalled := fallback || v.behind(v.progressAt) > p.takeoverTimeout(v)
	offered, refused := p.offeredChunks(v), p.refusedChunks(v)
	due := p.chunksDueAtOrigin(v)
	unmapped := p.hasPeersWithoutChunkMap(v) || p.now-p.lastRefusal < p.limits.MissingBackoff
	corrupt := -1
	for n := range v.chunkFetchers {
		i := (offset + n) % len(v.chunkFetchers)
		if v.have.Has(i) || v.pending.Has(i) || i >= due || !stalled && (offered.Has(i) || unmapped && refused.Has(i)) {
			continue
		}
		if !fallback && (p.assignedFetcher(v, i, stalledFetchers) != nil || p.remoteFetcherBusy(v, i)) {
			continue
		}
		if !v.corruptAtOrigin.Has(i) {
			return i
		}
		corrupt = i
	}
	if p.now < v.corruptRetryAt {
		return -1
	}
	return corrupt // after all others, which do not depend on what is wrong with it
}

// needsFallback reports whether this host has to use the origin by itself: it has made no progress for a long time, although
// others have, or it hears from no peer. While nobody makes progress, the origin is at fault, and more hosts at the origin
// would only delay its return.
func (p *Planner) needsFallback(v *version) bool {
	timeout := p.limits.OriginFallbackTimeout + time.Duration(p.seed%uint64(p.limits.OriginFallbackTimeout+1))
	if p.now-max(v.progressAt, v.resumedAt) < timeout {
		return false
	}
	return v.behind(v.progressAt) >= timeout || p.now-p.heardAt >= p.limits.OriginFallbackTimeout || v.isOfferedMissing()
}

// isOfferedMissing reports whether a peer of this region has a chunk that this host lacks.
func (v *version) isOfferedMissing() bool {
	for _, h := range v.holdingList {
		for w := range h.have {
			if h.peer.sameRegion && h.have[w]&^v.have[w] != 0 {
				return true
			}
		}
	}
	return false
}

// recordProgress records that this host or a peer of its region made progress at the given time.
func (v *version) recordProgress(now, takeoverTimeout time.Duration) {
	if now-v.latestProgress > takeoverTimeout {
		v.resumedAt = now
	}
	v.latestProgress = now
}

// behind returns how long the region has made progress without a host whose own last progress was at the given time. Time in
// which nobody made progress does not count.
func (v *version) behind(progressAt time.Duration) time.Duration {
	return v.latestProgress - max(v.startedAt, progressAt, v.resumedAt)
}

// chunksDueAtOrigin returns the number of chunks, in their order, that may be fetched from the origin now. A host that does not
// know yet what the others of its region have counts from its own start, since they may have the chunks.
func (p *Planner) chunksDueAtOrigin(v *version) int {
	if v.originInterval <= 0 {
		return len(v.chunkFetchers)
	}
	firstTurnAt := v.firstTurnAt
	if p.hasPeersWithoutChunkMap(v) {
		firstTurnAt = v.startedAt
	}
	return min(len(v.chunkFetchers), int((p.now-firstTurnAt)/v.originInterval)+1)
}

// observeTurns moves the turns forward to the last chunk that a peer has. The turns began when the version was requested, so
// a host that learns of it later would otherwise keep the chunks that it has to fetch from all others.
func (v *version) observeTurns(have Bitmap, now time.Duration) {
	if last := have.Last(); last >= 0 {
		v.firstTurnAt = min(v.firstTurnAt, now-time.Duration(last)*v.originInterval)
	}
}

// awaitingPeers reports whether some hosts that have to hold the version may not be known yet. Without this wait, a host
// that has just started would consider itself the only origin fetcher.
func (p *Planner) awaitingPeers(v *version) bool {
	if p.now-v.startedAt >= p.limits.JoinTimeout {
		return false
	}
	seen := 1
	for _, other := range p.sortedPeers {
		if other.sameRegion {
			seen++
		}
	}
	return seen < v.regionHosts
}

// offeredChunks returns the chunks that a peer of this region has and does not refuse to upload to this host.
func (p *Planner) offeredChunks(v *version) Bitmap {
	offered := make(Bitmap, len(v.have))
	for _, h := range v.holdingList {
		if !h.peer.sameRegion || h.refusedUntil > p.now {
			continue
		}
		for w := range offered {
			offered[w] |= h.have[w]
		}
	}
	return offered
}

// hasPeersWithoutChunkMap reports whether the region has peers that are not quarantined and whose chunk map is
// unknown.
func (p *Planner) hasPeersWithoutChunkMap(v *version) bool {
	return slices.ContainsFunc(p.sortedPeers, func(other *peerState) bool {
		return other.sameRegion && other.quarantinedUntil <= p.now && v.holdings[other] == nil
	})
}

// assignedFetcher returns the origin fetcher that has to fetch the chunk, nil for this host or if there is none. Those in excluded and
// those that refuse the chunk to this host are ignored.
func (p *Planner) assignedFetcher(v *version, chunk int, excluded uint64) *peerState {
	for i, g := range v.originFetchers {
		if v.hasRefusals && g.peer != nil && i < wordBits && p.refusedBy(v, g.peer, chunk) {
			excluded |= 1 << i
		}
	}
	index := int(v.chunkFetchers[chunk])
	if index < wordBits && excluded>>index&1 == 1 {
		index = p.bestOriginFetcher(v, chunk, v.originFetchers, excluded)
	}
	for range v.takeovers % min(wordBits, len(v.originFetchers)) {
		if index < 0 || index >= wordBits || bits.OnesCount64(excluded) >= len(v.originFetchers)-1 {
			break
		}
		excluded |= 1 << index
		index = p.bestOriginFetcher(v, chunk, v.originFetchers, excluded)
	}
	if index < 0 {
		return nil // all are excluded, and this host is none
	}
	return v.originFetchers[index].peer
}

// advanceTakeovers passes each missing chunk to its next origin fetcher and its next region after RotationTimeout without progress of anybody:
// either the fetchers of the last chunks have stalled, or the origin is away. One host at a time tries each chunk, so that an
// origin that is back is not asked by all of them.
func (p *Planner) advanceTakeovers() {
	for _, v := range p.versions {
		if !v.isComplete() && p.now-max(v.startedAt, v.latestProgress, v.takeoverAt) >= max(p.limits.RotationTimeout, p.takeoverTimeout(v)) {
			v.takeovers++
			v.takeoverAt = p.now
			if p.limits.SingleOriginFetch {
				p.assignRegions(v)
			}
		}
	}
}

// stalledOriginFetchers returns the set of origin fetchers that are quarantined, or make no progress while others do. It never
// contains this host.
func (p *Planner) stalledOriginFetchers(v *version) uint64 {
	var stalled uint64
	timeout := p.takeoverTimeout(v)
	for i, g := range v.originFetchers {
		if g.peer == nil || i >= wordBits {
			continue
		}
		if g.peer.quarantinedUntil > p.now || v.behind(v.lastProgress(g.peer)) > timeout {
			stalled |= 1 << i
		}
	}
	return stalled
}

// takeoverTimeout returns the time without progress after which other origin fetchers fetch an origin fetcher's chunks.
func (p *Planner) takeoverTimeout(v *version) time.Duration {
	return max(p.limits.TakeoverTimeout, p.originTimeout(v, p.originBytesPerS())-p.limits.MinOriginTimeout)
}

// lastProgress returns when the peer last announced an additional chunk, 0 if it never did.
func (v *version) lastProgress(other *peerState) time.Duration {
	h := v.holdings[other]
	if h == nil {
		return 0
	}
	return h.progressAt
}

// remoteSource returns the host of another region to fetch the chunk from, or nil. In each region it prefers the origin
// fetchers to other hosts. Among them it takes the one with the best score that is usable and does not refuse the chunk.
func (p *Planner) remoteSource(v *version, chunk int) *peerState {
	for _, region := range p.otherRegions() {
		ranked := p.rankPeers(versionHash(v.id), region)
		count := min(p.originFetchersPerRegion(), len(ranked))
		if best := p.bestRemoteSource(v, chunk, ranked[:count]); best != nil {
			return best
		}
		if best := p.bestRemoteSource(v, chunk, ranked[count:]); best != nil {
			return best
		}
	}
	return nil
}

func (p *Planner) bestRemoteSource(v *version, chunk int, candidates []originFetcher) *peerState {
	var best *peerState
	bestScore := uint64(0)
	for _, g := range candidates {
		if !p.canFetchFrom(g.peer) || p.refusedBy(v, g.peer, chunk) {
			continue
		}
		if s := rendezvousScore(v.chunkHashes[chunk], g.hash); best == nil || s > bestScore {
			best, bestScore = g.peer, s
		}
	}
	return best
}

func (p *Planner) refusedBy(v *version, other *peerState, chunk int) bool {
	h := v.holdings[other]
	return h != nil && (h.refused.Has(chunk) || h.unwanted.Has(chunk) || h.refusedUntil > p.now)
}

func (p *Planner) otherRegions() []core.Region {
	var regions []core.Region
	for _, other := range p.sortedPeers {
		if !other.sameRegion && !slices.Contains(regions, other.Region) {
			regions = append(regions, other.Region)
		}
	}
	return regions
}

func versionHash(id core.VersionID) uint64 { return weights.Digest(id).Hash() }
