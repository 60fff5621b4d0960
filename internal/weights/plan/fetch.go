package plan

import (
	"math/bits"
	"slices"
	"time"
)

const (
	busyBackoff           = 500 * time.Millisecond // before a busy peer is asked again
	maxBusyDoublings      = 4
	maxOriginDoublings    = 4
	peerTimeoutFactor     = 8                      // a fetch may take this many times what fetches took of late
	unannouncedBackoff    = 500 * time.Millisecond // after such a peer refused
	maxUnannouncedFetches = 1                      // fetches at once from peers that did not announce the chunk
	durationSmoothing     = 8                      // weight of the past in the mean duration of fetches
)

// fetch is a fetch under way. A nil source is the origin.
type fetch struct {
	id        FetchID
	source    *peer
	version   *version
	chunk     int
	startedAt time.Duration
	deadline  time.Duration
	announced bool
}

// originState is what a planner knows of the origin.
type originState struct {
	activeFetches int
	failures      int
	backoffUntil  time.Duration
	meanPeerFetch time.Duration // of the fetches from peers that ended well
}

func (p *Planner) startFetch(v *version, chunk int, source *peer, announced bool) {
	p.lastFetchID++
	f := &fetch{id: p.lastFetchID, source: source, version: v, chunk: chunk, startedAt: p.now, announced: announced}
	effect := FetchChunk{Fetch: f.id, Version: v.id, Index: chunk}
	if source == nil {
		effect.BytesPerS = p.originBytesPerS()
		f.deadline = p.now + p.originTimeout(v, effect.BytesPerS)
		p.origin.activeFetches++
	} else {
		effect.Source = source.Host
		f.deadline = p.now + max(p.limits.MinPeerTimeout, peerTimeoutFactor*p.origin.meanPeerFetch)
		source.fetchCount++
		if !source.sameRegion {
			effect.BytesPerS = p.crossRegionBytesPerS()
			f.deadline = p.now + p.originTimeout(v, effect.BytesPerS)
		}
	}
	if !announced && source != nil {
		p.unannouncedFetches++
	}
	if source != nil {
		p.controlBudget.consume(p.now, requestOverheadBytes)
	}
	v.pending.Set(chunk)
	p.fetches[f.id] = f
	p.activeFetches = append(p.activeFetches, f)
	p.emit(effect)
}

// originRate is the rate of this host's fetches from the origin in bytes a second, 0 for no bound.
func (p *Planner) originBytesPerS() int64 {
	if !p.originIsRemote() {
		return 0
	}
	return p.crossRegionBytesPerS()
}

// regionRate is a gateway's part of the share of the link between regions, in bytes a second, 0 for no bound.
func (p *Planner) crossRegionBytesPerS() int64 {
	if p.limits.RegionBytesPerS == 0 {
		return 0
	}
	return max(1, p.limits.RegionBytesPerS/int64(max(1, p.limits.GatewaysPerRegion)))
}

// remote tells whether the origin lies behind a bounded link between regions.
func (p *Planner) originIsRemote() bool {
	return p.limits.OriginRegion != "" && p.limits.OriginRegion != p.self.Region && p.limits.RegionBytesPerS > 0
}

func (p *Planner) originTimeout(v *version, bytesPerS int64) time.Duration {
	timeout := p.limits.MinOriginTimeout
	if bytesPerS > 0 {
		timeout += 2 * time.Duration(float64(v.manifest.ChunkBytes)/float64(bytesPerS)*float64(time.Second))
	}
	return timeout
}

// forget takes the fetch off the books.
func (p *Planner) removeFetch(f *fetch) {
	delete(p.fetches, f.id)
	p.activeFetches = slices.DeleteFunc(p.activeFetches, func(other *fetch) bool { return other == f })
	f.version.pending.Clear(f.chunk)
	if f.source == nil {
		p.origin.activeFetches--
		return
	}
	f.source.fetchCount--
	if !f.announced {
		p.unannouncedFetches--
	}
}

func (p *Planner) fetchEnded(event FetchEnded) {
	f := p.fetches[event.Fetch]
	if f == nil {
		return
	}
	p.removeFetch(f)
	if event.Result == Verified {
		p.fetchVerified(f)
		return
	}
	if f.source == nil {
		p.originFailed()
		return
	}
	p.peerFailed(f, event.Result)
}

func (p *Planner) fetchVerified(f *fetch) {
	if f.source == nil {
		p.origin.failures = 0
	} else {
		f.source.faultCount = 0
		f.source.busyCount = 0
		p.origin.meanPeerFetch += (p.now - f.startedAt - p.origin.meanPeerFetch) / durationSmoothing
	}
	p.markVerified(f.version.manifest.Chunks[f.chunk])
}

func (p *Planner) originFailed() {
	p.origin.backoffUntil = p.now + p.limits.OriginBackoff<<min(p.origin.failures, maxOriginDoublings)
	p.origin.failures++
}

// peerFailed backs off from a peer that refused, and puts aside one that lied, stalled or sent wrong bytes.
func (p *Planner) peerFailed(f *fetch, result Result) {
	if result == VersionLimitReached || result == ChunkLimitReached {
		p.lastRefusal = p.now
	}
	if !f.announced {
		p.nextUnannouncedFetch = p.now + unannouncedBackoff
	}
	switch {
	case result == Busy:
		delay := busyBackoff << min(f.source.busyCount, maxBusyDoublings)
		f.source.busyCount++
		f.source.backoffUntil = p.now + delay + time.Duration(p.nextRandom()%uint64(delay))
	case result == VersionLimitReached:
		p.holdingOf(f.version, f.source).refusedUntil = p.now + p.limits.UploadWindow
	case result == ChunkLimitReached:
		p.recordRefusal(f)
	case result == NotWanted:
		p.removeHolding(f.version, f.source)
		f.source.backoffUntil = p.now + p.limits.MissingBackoff
	case result == Missing && !f.announced:
		f.source.backoffUntil = p.now + p.limits.MissingBackoff
	default:
		p.quarantine(f.source)
	}
}

// refuse notes that the peer gives the chunk to no more hosts. A chunk that every known holder refuses is left to peers
// that this host has no map of.
func (p *Planner) recordRefusal(f *fetch) {
	h := p.holdingOf(f.version, f.source)
	if h.have.Has(f.chunk) {
		h.have.Clear(f.chunk)
		f.version.copies[f.chunk]--
	}
	h.refused.Set(f.chunk)
}

// expire gives up fetches that are past their deadline.
func (p *Planner) expireFetches() {
	for _, f := range append([]*fetch(nil), p.activeFetches...) {
		if p.now < f.deadline {
			continue
		}
		p.emit(CancelFetch{Fetch: f.id})
		p.fetchEnded(FetchEnded{Fetch: f.id, Result: Stalled})
	}
}

// schedule starts as many fetches as the limits allow.
func (p *Planner) schedule() {
	for _, v := range p.versions {
		if v.isComplete() {
			continue
		}
		for p.startOriginFetch(v) {
		}
		for len(p.activeFetches) < p.limits.MaxDownloads && (p.startPeerFetch(v) || p.startGatewayFetch(v)) {
		}
	}
}

// usable tells whether the peer may be asked for a chunk now.
func (p *Planner) canFetchFrom(other *peer) bool {
	return other.quarantinedUntil <= p.now && other.backoffUntil <= p.now && other.fetchCount < p.limits.MaxDownloadsPerPeer
}

// startPeer fetches the missing chunk of which the fewest copies are known, from the least used peer that holds it.
func (p *Planner) startPeerFetch(v *version) bool {
	offers := p.offerBuffer[:0]
	offered := make(Bitmap, len(v.have))
	for _, h := range v.holdingList {
		if !h.peer.sameRegion || h.refusedUntil > p.now || !p.canFetchFrom(h.peer) {
			continue
		}
		offers = append(offers, h)
		for w := range offered {
			offered[w] |= h.have[w]
		}
	}
	p.offerBuffer = offers
	chunk := p.rarestChunk(v, offered)
	if chunk < 0 {
		return p.startUnannouncedFetch(v)
	}
	candidates := p.candidateBuffer[:0]
	for _, h := range offers {
		if h.have.Has(chunk) {
			candidates = append(candidates, h.peer)
		}
	}
	p.candidateBuffer = candidates
	p.startFetch(v, chunk, p.leastUsedPeer(candidates), true)
	return true
}

// rarest returns the chunk of the set with the fewest known copies that is neither held nor being fetched, or -1.
func (p *Planner) rarestChunk(v *version, offered Bitmap) int {
	best, bestCopies, bestTie := -1, uint16(0), uint64(0)
	salt := p.nextRandom()
	for w := range offered {
		for candidates := offered[w] &^ v.have[w] &^ v.pending[w]; candidates != 0; candidates &= candidates - 1 {
			i := w*wordBits + bits.TrailingZeros64(candidates)
			if best >= 0 && v.copies[i] > bestCopies {
				continue
			}
			tie := mix64(salt + uint64(i))
			if best < 0 || v.copies[i] < bestCopies || tie < bestTie {
				best, bestCopies, bestTie = i, v.copies[i], tie
			}
		}
	}
	return best
}

// leastUsed returns the peer with the fewest fetches under way, drawn at random among equals, or nil.
func (p *Planner) leastUsedPeer(candidates []*peer) *peer {
	var best *peer
	var bestTie uint64
	salt := p.nextRandom()
	for _, other := range candidates {
		tie := mix64(salt + other.hash)
		if best == nil || other.fetchCount < best.fetchCount || (other.fetchCount == best.fetchCount && tie < bestTie) {
			best, bestTie = other, tie
		}
	}
	return best
}

// startStranger asks a peer that this host has no map of for a chunk that known holders refuse.
func (p *Planner) startUnannouncedFetch(v *version) bool {
	if p.unannouncedFetches >= maxUnannouncedFetches || p.now < p.nextUnannouncedFetch {
		return false
	}
	chunk := p.rarestChunk(v, p.refusedChunks(v))
	if chunk < 0 {
		return false
	}
	candidates := p.candidateBuffer[:0]
	for _, other := range p.sortedPeers {
		if other.sameRegion && v.holdings[other] == nil && p.canFetchFrom(other) {
			candidates = append(candidates, other)
		}
	}
	p.candidateBuffer = candidates
	source := p.leastUsedPeer(candidates)
	if source == nil {
		return false
	}
	p.startFetch(v, chunk, source, false)
	return true
}

// refusedChunks returns the chunks that peers hold but do not give to this host.
func (p *Planner) refusedChunks(v *version) Bitmap {
	refused := make(Bitmap, len(v.have))
	for _, h := range v.holdingList {
		if !h.peer.sameRegion {
			continue
		}
		for w := range refused {
			refused[w] |= h.refused[w]
			if h.refusedUntil > p.now {
				refused[w] |= h.have[w]
			}
		}
	}
	return refused
}
