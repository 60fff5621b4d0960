package plan

import (
	"math/bits"
	"slices"
	"time"
)

const (
	busyBackoff     = 500 * time.Millisecond // before a busy peer is asked again
	busyDoublings   = 4
	originDoublings = 4
	patienceFactor  = 8                      // a fetch may take this many times what fetches took of late
	askGap          = 500 * time.Millisecond // after such a peer refused
	askStrangers    = 1                      // fetches at once from peers that did not announce the chunk
	smoothing       = 8                      // weight of the past in the mean duration of fetches
)

// fetch is a fetch under way. A nil source is the origin.
type fetch struct {
	id        FetchID
	source    *peer
	version   *version
	chunk     int
	start     time.Duration
	deadline  time.Duration
	announced bool
}

// originState is what a planner knows of the origin.
type originState struct {
	underway int
	failures int
	backoff  time.Duration
	mean     time.Duration // of the fetches from peers that ended well
}

func (p *Planner) startFetch(v *version, chunk int, source *peer, announced bool) {
	p.lastID++
	f := &fetch{id: p.lastID, source: source, version: v, chunk: chunk, start: p.now, announced: announced}
	effect := FetchChunk{Fetch: f.id, Version: v.id, Index: chunk}
	if source == nil {
		effect.Rate = p.originRate()
		f.deadline = p.now + p.originPatience(v, effect.Rate)
		p.origin.underway++
	} else {
		effect.Source = source.Host
		f.deadline = p.now + max(p.limits.PeerPatience, patienceFactor*p.origin.mean)
		source.fetching++
		if !source.near {
			effect.Rate = p.regionRate()
			f.deadline = p.now + p.originPatience(v, effect.Rate)
		}
	}
	if !announced && source != nil {
		p.asking++
	}
	if source != nil {
		p.control.charge(p.now, requestBytes)
	}
	v.pending.Set(chunk)
	p.fetches[f.id] = f
	p.underway = append(p.underway, f)
	p.emit(effect)
}

// originRate is the rate of this host's fetches from the origin in bytes a second, 0 for no bound.
func (p *Planner) originRate() int64 {
	if !p.remote() {
		return 0
	}
	return p.regionRate()
}

// regionRate is a gateway's part of the share of the link between regions, in bytes a second, 0 for no bound.
func (p *Planner) regionRate() int64 {
	if p.limits.RegionBytesPerS == 0 {
		return 0
	}
	return max(1, p.limits.RegionBytesPerS/int64(max(1, p.limits.Gateways)))
}

// remote tells whether the origin lies behind a bounded link between regions.
func (p *Planner) remote() bool {
	return p.limits.OriginRegion != "" && p.limits.OriginRegion != p.self.Region && p.limits.RegionBytesPerS > 0
}

func (p *Planner) originPatience(v *version, rate int64) time.Duration {
	patience := p.limits.OriginPatience
	if rate > 0 {
		patience += 2 * time.Duration(float64(v.manifest.ChunkBytes)/float64(rate)*float64(time.Second))
	}
	return patience
}

// forget takes the fetch off the books.
func (p *Planner) forget(f *fetch) {
	delete(p.fetches, f.id)
	p.underway = slices.DeleteFunc(p.underway, func(other *fetch) bool { return other == f })
	f.version.pending.Clear(f.chunk)
	if f.source == nil {
		p.origin.underway--
		return
	}
	f.source.fetching--
	if !f.announced {
		p.asking--
	}
}

func (p *Planner) fetchEnded(event FetchEnded) {
	f := p.fetches[event.Fetch]
	if f == nil {
		return
	}
	p.forget(f)
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
		f.source.faults = 0
		f.source.refusals = 0
		p.origin.mean += (p.now - f.start - p.origin.mean) / smoothing
	}
	p.verified(f.version.manifest.Chunks[f.chunk])
}

func (p *Planner) originFailed() {
	p.origin.backoff = p.now + p.limits.OriginBackoff<<min(p.origin.failures, originDoublings)
	p.origin.failures++
}

// peerFailed backs off from a peer that refused, and puts aside one that lied, stalled or sent wrong bytes.
func (p *Planner) peerFailed(f *fetch, result Result) {
	if result == Spent || result == GivenOut {
		p.refusedAt = p.now
	}
	if !f.announced {
		p.askDue = p.now + askGap
	}
	switch {
	case result == Busy:
		span := busyBackoff << min(f.source.refusals, busyDoublings)
		f.source.refusals++
		f.source.backoff = p.now + span + time.Duration(p.draw()%uint64(span))
	case result == Spent:
		p.holdingOf(f.version, f.source).spent = p.now + p.limits.UploadWindow
	case result == GivenOut:
		p.refuse(f)
	case result == Dropped:
		p.forgetMap(f.version, f.source)
		f.source.backoff = p.now + p.limits.MissBackoff
	case result == Missing && !f.announced:
		f.source.backoff = p.now + p.limits.MissBackoff
	default:
		p.putAside(f.source)
	}
}

// refuse notes that the peer gives the chunk to no more hosts. A chunk that every known holder refuses is left to peers
// that this host has no map of.
func (p *Planner) refuse(f *fetch) {
	h := p.holdingOf(f.version, f.source)
	if h.have.Has(f.chunk) {
		h.have.Clear(f.chunk)
		f.version.copies[f.chunk]--
	}
	h.refused.Set(f.chunk)
}

// expire gives up fetches that are past their deadline.
func (p *Planner) expire() {
	for _, f := range append([]*fetch(nil), p.underway...) {
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
		if v.complete() {
			continue
		}
		for p.startOrigin(v) {
		}
		for len(p.underway) < p.limits.Downloads && (p.startPeer(v) || p.startGateway(v)) {
		}
	}
}

// usable tells whether the peer may be asked for a chunk now.
func (p *Planner) usable(other *peer) bool {
	return other.aside <= p.now && other.backoff <= p.now && other.fetching < p.limits.PerPeer
}

// startPeer fetches the missing chunk of which the fewest copies are known, from the least used peer that holds it.
func (p *Planner) startPeer(v *version) bool {
	offers := p.offers[:0]
	offered := make(Bitmap, len(v.have))
	for _, h := range v.known {
		if !h.peer.near || h.spent > p.now || !p.usable(h.peer) {
			continue
		}
		offers = append(offers, h)
		for w := range offered {
			offered[w] |= h.have[w]
		}
	}
	p.offers = offers
	chunk := p.rarest(v, offered)
	if chunk < 0 {
		return p.startStranger(v)
	}
	candidates := p.candidates[:0]
	for _, h := range offers {
		if h.have.Has(chunk) {
			candidates = append(candidates, h.peer)
		}
	}
	p.candidates = candidates
	p.startFetch(v, chunk, p.leastUsed(candidates), true)
	return true
}

// rarest returns the chunk of the set with the fewest known copies that is neither held nor being fetched, or -1.
func (p *Planner) rarest(v *version, offered Bitmap) int {
	best, bestCopies, bestDraw := -1, uint16(0), uint64(0)
	salt := p.draw()
	for w := range offered {
		for open := offered[w] &^ v.have[w] &^ v.pending[w]; open != 0; open &= open - 1 {
			i := w*wordBits + bits.TrailingZeros64(open)
			if best >= 0 && v.copies[i] > bestCopies {
				continue
			}
			tie := mix(salt + uint64(i))
			if best < 0 || v.copies[i] < bestCopies || tie < bestDraw {
				best, bestCopies, bestDraw = i, v.copies[i], tie
			}
		}
	}
	return best
}

// leastUsed returns the peer with the fewest fetches under way, drawn at random among equals, or nil.
func (p *Planner) leastUsed(candidates []*peer) *peer {
	var best *peer
	var bestDraw uint64
	salt := p.draw()
	for _, other := range candidates {
		tie := mix(salt + other.hash)
		if best == nil || other.fetching < best.fetching || (other.fetching == best.fetching && tie < bestDraw) {
			best, bestDraw = other, tie
		}
	}
	return best
}

// startStranger asks a peer that this host has no map of for a chunk that known holders refuse.
func (p *Planner) startStranger(v *version) bool {
	if p.asking >= askStrangers || p.now < p.askDue {
		return false
	}
	chunk := p.rarest(v, p.refusedChunks(v))
	if chunk < 0 {
		return false
	}
	candidates := p.candidates[:0]
	for _, other := range p.order {
		if other.near && v.holdings[other] == nil && p.usable(other) {
			candidates = append(candidates, other)
		}
	}
	p.candidates = candidates
	source := p.leastUsed(candidates)
	if source == nil {
		return false
	}
	p.startFetch(v, chunk, source, false)
	return true
}

// refusedChunks returns the chunks that peers hold but do not give to this host.
func (p *Planner) refusedChunks(v *version) Bitmap {
	refused := make(Bitmap, len(v.have))
	for _, h := range v.known {
		if !h.peer.near {
			continue
		}
		for w := range refused {
			refused[w] |= h.refused[w]
			if h.spent > p.now {
				refused[w] |= h.have[w]
			}
		}
	}
	return refused
}
