package plan

import (
	"math/bits"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	controlBurstS   = 4                      // seconds of control bytes that may be spent at once
	mapGap          = 250 * time.Millisecond // least time between two rounds of maps
	gatewayMaps     = 3                      // maps that pass between gateways in the time of a takeover
	requestBytes    = 300                    // a request for a chunk with the header of its answer
	mapFailures     = 3                      // unanswered maps in a row until a peer is put aside
	mapHeaderBytes  = 200                    // JSON-RPC message without the map
	mapBytesPerByte = 1.34                   // base64
)

// bucket bounds a rate with a burst.
type bucket struct {
	level float64
	rate  float64
	at    time.Duration
}

func (b *bucket) overdrawn(now time.Duration) bool {
	b.charge(now, 0)
	return b.level <= 0
}

// charge spends the cost even if that overdraws the bucket.
func (b *bucket) charge(now time.Duration, cost float64) {
	b.level = min(b.level+b.rate*(now-b.at).Seconds(), b.rate*controlBurstS) - cost
	b.at = now
}

// MapBytes estimates the bytes of one message that carries a map of n chunks.
func MapBytes(n int) int {
	return mapHeaderBytes + int(float64(len(NewBitmap(n))*wordBytes)*mapBytesPerByte)
}

// exchange sends this host's maps to its neighbours, as often as the bound on control bytes lets it.
func (p *Planner) exchange() {
	if p.now < p.mapDue {
		return
	}
	v := p.firstIncomplete()
	if v == nil {
		return
	}
	p.mapDue = p.now + mapGap
	p.sendMaps(v, p.gatewayTargets(v))
	if p.control.overdrawn(p.now) {
		return
	}
	p.sendMaps(v, p.neighbourTargets(v))
}

func (p *Planner) sendMaps(v *version, targets []*peer) {
	p.control.charge(p.now, float64(exchangeBytes(v)*len(targets)))
	for _, other := range targets {
		p.emit(SendMap{Host: other.Host, Version: v.id, Have: v.have.Clone()})
	}
}

// exchangeBytes estimates the bytes of a map and its answer.
func exchangeBytes(v *version) int { return 2 * MapBytes(len(v.manifest.Chunks)) }

func (p *Planner) firstIncomplete() *version {
	for _, v := range p.versions {
		if !v.complete() {
			return v
		}
	}
	return nil
}

// neighbourTargets returns the neighbours that may lack or hold something new.
func (p *Planner) neighbourTargets(v *version) []*peer {
	var targets []*peer
	for _, other := range p.chosen {
		if other.aside <= p.now && !p.knownComplete(v, other) {
			targets = append(targets, other)
		}
	}
	return targets
}

// gatewayTargets returns, on a gateway now and then, the other gateways. Of two gateways the one with the lower name
// sends, since the answer brings the other's map. These maps show who makes progress, so no want of control bytes
// holds them back.
func (p *Planner) gatewayTargets(v *version) []*peer {
	if p.now < p.peerDue || len(v.gateways) > wordBits || !p.isGateway(v) {
		return nil
	}
	p.peerDue = p.now + p.limits.Takeover/gatewayMaps
	var targets []*peer
	for _, g := range v.gateways {
		if g.peer != nil && p.self.Host < g.peer.Host && g.peer.aside <= p.now {
			targets = append(targets, g.peer)
		}
	}
	return targets
}

func (p *Planner) knownComplete(v *version, other *peer) bool {
	h := v.holdings[other]
	return h != nil && h.have.Count()+h.refused.Count() == len(v.manifest.Chunks)
}

func (p *Planner) isGateway(v *version) bool {
	for _, g := range v.gateways {
		if g.peer == nil {
			return true
		}
	}
	return false
}

// Map returns this host's map of the version, nil when it does not want it.
func (p *Planner) Map(id core.VersionID) Bitmap {
	v := p.findVersion(id)
	if v == nil {
		return nil
	}
	return v.have.Clone()
}

func (p *Planner) mapReceived(event MapReceived) {
	other, v := p.peers[event.Host], p.findVersion(event.Version)
	if other == nil || v == nil || len(event.Have) != len(v.have) {
		return
	}
	other.mapFailed = 0
	if !event.Asked {
		p.control.charge(p.now, float64(exchangeBytes(v)))
	}
	if other.aside > p.now {
		return
	}
	h := p.holdingOf(v, other)
	fresh := make(Bitmap, len(event.Have))
	for w := range fresh {
		fresh[w] = event.Have[w] &^ h.refused[w]
	}
	if fresh.Count() > h.have.Count() {
		h.advanced = p.now
	}
	v.countMap(h.have, fresh)
	h.have = fresh
}

// holdingOf returns the peer's holding of the version, an empty one at first.
func (p *Planner) holdingOf(v *version, other *peer) *holding {
	h := v.holdings[other]
	if h == nil {
		n := len(v.manifest.Chunks)
		h = &holding{peer: other, have: NewBitmap(n), refused: NewBitmap(n)}
		v.holdings[other] = h
		v.known = append(v.known, h)
	}
	return h
}

// countMap replaces one peer's map in the counts of copies.
func (v *version) countMap(before, after Bitmap) {
	for w := range v.have {
		lost := before[w]
		var gained uint64
		if after != nil {
			lost, gained = before[w]&^after[w], after[w]&^before[w]
		}
		for ; lost != 0; lost &= lost - 1 {
			v.copies[w*wordBits+bits.TrailingZeros64(lost)]--
		}
		for ; gained != 0; gained &= gained - 1 {
			v.copies[w*wordBits+bits.TrailingZeros64(gained)]++
		}
	}
}
