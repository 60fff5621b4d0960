package plan

import (
	"math/bits"
	"slices"
	"time"
)

const (
	maxBackoffDoublings   = 4
	maxBusyAfterWait      = 1                      // consecutive refusals after a wait, above which the peer's uploads count as stalled
	peerTimeoutFactor     = 8                      // timeout of a fetch from a peer, in multiples of the recent mean duration
	unannouncedBackoff    = 500 * time.Millisecond // delay after an unannounced fetch failed
	maxUnannouncedFetches = 1                      // concurrent fetches of chunks that the source did not announce
	notWantedGrace        = 2 * time.Second        // within which all hosts learn of a version
	durationSmoothing     = 8                      // each sample has a weight of 1/durationSmoothing in the moving average
)

// fetch is an active fetch. A nil source means the origin.
type fetch struct {
	id        FetchID
	source    *peerState
	version   *version
	chunk     int
	startedAt time.Duration
	deadline  time.Duration
	announced bool
}

// originState is the state of fetches from the origin, and the mean duration of fetches from peers.
type originState struct {
	activeFetches int
	failures      int
	backoffUntil  time.Duration
	meanPeerFetch time.Duration // moving average duration of successful fetches from peers
}

func (p *Planner) startFetch(v *version, chunk int, source *peerState, announced bool) {
	p.lastFetchID++
	f := &fetch{id: p.lastFetchID, source: source, version: v, chunk: chunk, startedAt: p.now, announced: announced}
	effect := FetchChunk{FetchID: f.id, Version: v.id, Index: chunk}
	if source == nil {
		effect.BytesPerS = p.originBytesPerS()
		f.deadline = p.now + p.originTimeout(v, effect.BytesPerS)
		p.origin.activeFetches++
	} else {
		effect.Source = source.Host
		f.deadline = p.now + max(p.limits.MinPeerTimeout, peerTimeoutFactor*p.origin.meanPeerFetch)
		source.activeFetches++
		if !source.sameRegion {
			effect.BytesPerS, effect.ForRegion = p.crossRegionBytesPerS(), true
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

// originBytesPerS returns the rate limit of this host's fetches from the origin, 0 for unlimited.
func (p *Planner) originBytesPerS() int64 {
	if !p.originIsRemote() {
		return 0
	}
	return p.crossRegionBytesPerS()
}

// crossRegionBytesPerS returns an origin fetcher's share of the cross-region link, 0 for unlimited.
func (p *Planner) crossRegionBytesPerS() int64 {
	if p.limits.CrossRegionBytesPerS == 0 {
		return 0
	}
	return max(1, p.limits.CrossRegionBytesPerS/int64(max(1, p.limits.OriginFetchersPerRegion)))
}

// originIsRemote reports whether the origin is behind a rate-limited cross-region link.
func (p *Planner) originIsRemote() bool {
	return p.limits.OriginRegion != "" && p.limits.OriginRegion != p.self.Region && p.limits.CrossRegionBytesPerS > 0
}

func (p *Planner) originTimeout(v *version, bytesPerS int64) time.Duration {
	timeout := p.limits.MinOriginTimeout
	if bytesPerS > 0 {
		timeout += 2 * time.Duration(float64(v.manifest.ChunkBytes)/float64(bytesPerS)*float64(time.Second))
	}
	return timeout
}

// removeFetch removes an active fetch, so that its chunk can be fetched again.
func (p *Planner) removeFetch(f *fetch) {
	delete(p.fetches, f.id)
	p.activeFetches = slices.DeleteFunc(p.activeFetches, func(other *fetch) bool { return other == f })
	f.version.pending.Clear(f.chunk)
	if f.source == nil {
		p.origin.activeFetches--
		return
	}
	f.source.activeFetches--
	if !f.announced {
		p.unannouncedFetches--
	}
}

func (p *Planner) fetchEnded(event FetchEnded) {
	f := p.fetches[event.FetchID]
	if f == nil {
		return
	}
	p.removeFetch(f)
	if event.Result == Verified {
		p.fetchVerified(f)
		return
	}
	p.checkManifest(f, event.Result)
	if f.source == nil {
		if event.Result != Corrupt {
			p.originFailed(f)
		}
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
		if f.source.sameRegion {
			p.heardAt = p.now
		}
		p.origin.meanPeerFetch += (p.now - f.startedAt - p.origin.meanPeerFetch) / durationSmoothing
	}
	p.markVerified(f.version.manifest.Chunks[f.chunk])
}

// turnsBefore returns how long the origin needs for the missing chunks that come before the chunk of the fetch: those of earlier
// versions and the earlier ones of its own.
func (p *Planner) turnsBefore(f *fetch) time.Duration {
	var wait time.Duration
	for _, v := range p.versions {
		end := len(v.manifest.Chunks)
		if v == f.version {
			end = f.chunk
		}
		wait += time.Duration(end-v.have.CountBelow(end)) * v.originInterval
		if v == f.version {
			break
		}
	}
	return wait
}

// originFailed delays the next fetch from the origin. Hosts whose chunks come later in the order wait longer: all of them together
// would exceed the connections of an origin that is back, and share its link so that no chunk is complete before the end.
func (p *Planner) originFailed(f *fetch) {
	backoff := min(p.limits.MaxOriginBackoff, p.limits.OriginBackoff<<min(p.origin.failures, maxBackoffDoublings))
	p.origin.backoffUntil = p.now + backoff + p.turnsBefore(f)
	p.origin.failures++
}

// peerFailed handles a failed fetch from a peer. A peer that refused is backed off from or not asked again for a while.
// A peer that stalled, was unreachable, sent corrupt bytes or lacked a chunk that it had announced is quarantined.
func (p *Planner) peerFailed(f *fetch, result Result) {
	if result == VersionLimitReached || result == ChunkLimitReached {
		f.version.hasRefusals = true
		p.lastRefusal = p.now
	}
	if !f.announced {
		p.nextUnannouncedFetch = p.now + unannouncedBackoff
	}
	switch {
	case result == Busy && p.limits.MaxUploadWait > 0 && f.source.busyCount >= maxBusyAfterWait:
		f.source.busyCount = 0
		p.quarantine(f.source)
	case result == Busy:
		delay := min(p.limits.MaxBusyBackoff, p.limits.BusyBackoff<<min(f.source.busyCount, maxBackoffDoublings))
		f.source.busyCount++
		f.source.backoffUntil = p.now + delay + time.Duration(p.nextRandom()%uint64(delay))
	case result == VersionLimitReached:
		p.holdingOf(f.version, f.source).refusedUntil = p.now + p.limits.UploadWindow
	case result == ChunkLimitReached:
		p.recordRefusal(f)
	case result == OtherDigest:
		p.recordUnwanted(f)
	case result == NotWanted && p.isFetcherWithoutVersion(f):
		p.recordUnwanted(f)
		f.source.backoffUntil = p.now + p.limits.MissingBackoff
	case result == NotWanted:
		p.removeHolding(f.version, f.source)
		f.source.backoffUntil = p.now + p.limits.MissingBackoff
	case result == Missing && !f.announced:
		f.source.backoffUntil = p.now + p.limits.MissingBackoff
	default:
		p.quarantine(f.source)
	}
}

// recordRefusal records that the peer has reached its upload limit for the chunk. If every known holder refuses a chunk,
// startUnannouncedFetch requests it from peers whose chunk maps are unknown.
func (p *Planner) recordRefusal(f *fetch) { p.withdrawChunk(f).refused.Set(f.chunk) }

// withdrawChunk removes the chunk of the fetch from those that the peer has announced and returns the peer's holding.
func (p *Planner) withdrawChunk(f *fetch) *holding {
	h := p.holdingOf(f.version, f.source)
	if h.have.Has(f.chunk) {
		h.have.Clear(f.chunk)
		f.version.copies[f.chunk]--
	}
	return h
}

// expireFetches cancels fetches that have passed their deadline and treats them as stalled.
func (p *Planner) expireFetches() {
	for _, f := range append([]*fetch(nil), p.activeFetches...) {
		if p.now < f.deadline {
			continue
		}
		p.emit(CancelFetch{FetchID: f.id})
		p.fetchEnded(FetchEnded{FetchID: f.id, Result: Stalled})
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
		for len(p.activeFetches) < p.limits.MaxDownloads && (p.startPeerFetch(v) || p.startAssignedFetch(v)) {
		}
	}
}

// canFetchFrom reports whether another fetch from the peer may start now.
func (p *Planner) canFetchFrom(other *peerState) bool {
	return other.quarantinedUntil <= p.now && other.backoffUntil <= p.now && other.activeFetches < p.limits.MaxDownloadsPerPeer
}

// startPeerFetch fetches the missing chunk with the fewest known copies from its least used holder. It returns false if
// no fetch was started.
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

// rarestChunk returns the offered chunk with the fewest known copies that is neither held nor being fetched. Ties are
// broken at random. It returns -1 if there is none.
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

// leastUsedPeer returns the candidate with the fewest active fetches, or nil if there are no candidates. Ties are broken
// at random.
func (p *Planner) leastUsedPeer(candidates []*peerState) *peerState {
	var best *peerState
	var bestTie uint64
	salt := p.nextRandom()
	for _, other := range candidates {
		tie := mix64(salt + other.hash)
		if best == nil || other.activeFetches < best.activeFetches || (other.activeFetches == best.activeFetches && tie < bestTie) {
			best, bestTie = other, tie
		}
	}
	return best
}

// startUnannouncedFetch requests a chunk that known holders refuse from a peer whose chunk map is unknown. It returns
// false if no fetch was started.
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

// refusedChunks returns the chunks that peers of this region have but refuse to upload to this host.
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
