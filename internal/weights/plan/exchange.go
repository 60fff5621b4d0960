package plan

import (
	"math/bits"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	controlBurstSeconds  = 4                      // size of the control budget, in seconds of its rate
	minChunkMapInterval  = 250 * time.Millisecond // minimum time between two rounds of chunk maps
	chunkMapsPerTakeover = 3                      // chunk maps that origin fetchers exchange within the takeover timeout
	requestOverheadBytes = 300                    // estimate for a chunk request and the header of its response
	maxChunkMapFailures  = 3                      // consecutive failures until a peer is quarantined
	rpcOverheadBytes     = 200                    // estimate for a JSON-RPC message without the chunk map
	base64Overhead       = 1.34                   // characters per byte of the chunk map, rounded up
)

// tokenBucket limits a rate and allows bursts. Its tokens can become negative.
type tokenBucket struct {
	tokens    float64
	perSecond float64
	updatedAt time.Duration
}

func (b *tokenBucket) exhausted(now time.Duration) bool {
	b.consume(now, 0)
	return b.tokens <= 0
}

// consume takes the cost from the bucket, even if it has fewer tokens.
func (b *tokenBucket) consume(now time.Duration, cost float64) {
	b.tokens = min(b.tokens+b.perSecond*(now-b.updatedAt).Seconds(), b.perSecond*controlBurstSeconds) - cost
	b.updatedAt = now
}

// ChunkMapMessageBytes returns the estimated size in bytes of a message with a chunk map of n chunks.
func ChunkMapMessageBytes(n int) int {
	return rpcOverheadBytes + int(float64(len(NewBitmap(n))*wordBytes)*base64Overhead)
}

// exchangeChunkMaps sends this host's chunk map of its first incomplete version to the other origin fetchers and to its
// neighbours. Chunk maps to neighbours are limited by the control budget.
func (p *Planner) exchangeChunkMaps() {
	if p.now < p.nextChunkMapExchange {
		return
	}
	v := p.firstIncomplete()
	if v == nil {
		return
	}
	p.nextChunkMapExchange = p.now + minChunkMapInterval
	p.sendChunkMaps(v, p.originFetcherTargets(v))
	if p.controlBudget.exhausted(p.now) {
		return
	}
	p.sendChunkMaps(v, p.neighbourTargets(v))
}

func (p *Planner) sendChunkMaps(v *version, targets []*peerState) {
	p.controlBudget.consume(p.now, float64(chunkMapExchangeBytes(v)*len(targets)))
	for _, other := range targets {
		p.emit(ExchangeChunkMap{Host: other.Host, Version: v.id, Have: v.have.Clone()})
	}
}

// chunkMapExchangeBytes returns the estimated size in bytes of a chunk map and its response.
func chunkMapExchangeBytes(v *version) int { return 2 * ChunkMapMessageBytes(len(v.manifest.Chunks)) }

func (p *Planner) firstIncomplete() *version {
	for _, v := range p.versions {
		if !v.isComplete() {
			return v
		}
	}
	return nil
}

// neighbourTargets returns the neighbours to send a chunk map to. Those known to have every chunk are left out.
func (p *Planner) neighbourTargets(v *version) []*peerState {
	var targets []*peerState
	for _, other := range p.neighbours {
		if other.quarantinedUntil <= p.now && !p.knownComplete(v, other) {
			targets = append(targets, other)
		}
	}
	return targets
}

// originFetcherTargets returns the other origin fetchers to send a chunk map to, if this host is one and an exchange is
// due. Of two of them only the one with the lower host ID sends, because the response contains the chunk map of the
// other. These chunk maps show which origin fetchers make progress, so they are sent even if the control budget is
// exhausted.
func (p *Planner) originFetcherTargets(v *version) []*peerState {
	if p.now < p.nextFetcherExchange || len(v.originFetchers) > wordBits || !p.isOriginFetcher(v) {
		return nil
	}
	p.nextFetcherExchange = p.now + p.limits.TakeoverTimeout/chunkMapsPerTakeover
	var targets []*peerState
	for _, g := range v.originFetchers {
		if g.peer != nil && p.self.Host < g.peer.Host && g.peer.quarantinedUntil <= p.now {
			targets = append(targets, g.peer)
		}
	}
	return targets
}

func (p *Planner) knownComplete(v *version, other *peerState) bool {
	h := v.holdings[other]
	return h != nil && h.have.Count()+h.refused.Count()+h.unwanted.Count() == len(v.manifest.Chunks)
}

func (p *Planner) isOriginFetcher(v *version) bool {
	for _, g := range v.originFetchers {
		if g.peer == nil {
			return true
		}
	}
	return false
}

// ChunkMap returns the chunks of the version that this host has, or nil if the version is not wanted.
func (p *Planner) ChunkMap(id core.VersionID) Bitmap {
	v := p.findVersion(id)
	if v == nil {
		return nil
	}
	return v.have.Clone()
}

func (p *Planner) chunkMapReceived(event ChunkMapReceived) {
	other, v := p.peers[event.Host], p.findVersion(event.Version)
	if other == nil || v == nil || len(event.Have) != len(v.have) {
		return
	}
	other.chunkMapFailures = 0
	if other.sameRegion {
		p.heardAt = p.now
	}
	if !event.IsReply {
		p.controlBudget.consume(p.now, float64(chunkMapExchangeBytes(v)))
	}
	if other.quarantinedUntil > p.now {
		return
	}
	v.observeTurns(event.Have, p.now)
	h := p.holdingOf(v, other)
	have := make(Bitmap, len(event.Have))
	for w := range have {
		have[w] = event.Have[w] &^ h.refused[w] &^ h.unwanted[w]
	}
	if have.Count() > h.have.Count() {
		h.progressAt = p.now
		if other.sameRegion {
			v.recordProgress(p.now, p.takeoverTimeout(v))
		}
	}
	v.updateCopies(h.have, have)
	h.have = have
}

// holdingOf returns the peer's holding of the version and creates an empty one if there is none.
func (p *Planner) holdingOf(v *version, other *peerState) *holding {
	h := v.holdings[other]
	if h == nil {
		n := len(v.manifest.Chunks)
		h = &holding{peer: other, have: NewBitmap(n), refused: NewBitmap(n), unwanted: NewBitmap(n)}
		v.holdings[other] = h
		v.holdingList = append(v.holdingList, h)
	}
	return h
}

// updateCopies updates the counts of copies after the chunk map of one peer has changed. If after is nil, the peer was
// removed.
func (v *version) updateCopies(before, after Bitmap) {
	for w := range v.have {
		removed := before[w]
		var added uint64
		if after != nil {
			removed, added = before[w]&^after[w], after[w]&^before[w]
		}
		for ; removed != 0; removed &= removed - 1 {
			v.copies[w*wordBits+bits.TrailingZeros64(removed)]--
		}
		for ; added != 0; added &= added - 1 {
			v.copies[w*wordBits+bits.TrailingZeros64(added)]++
		}
	}
}
