package node

import (
	"encoding/json"
	"time"

	"github.com/lovageglade/lovageglade/internal/wire"
)

// delay returns a random one-way delay of a message between two nodes.
func (f *fleet) delay(a, b *fleetNode) time.Duration {
	base := 300 * time.Microsecond
	if a.host.FailureDomain != b.host.FailureDomain {
		base = 2 * time.Millisecond
	}
	return base + time.Duration(f.random.ExpFloat64()*float64(base))
}

func (f *fleet) readHead(node *fleetNode, effect ReadHead) {
	if f.platformCut[node.host.FailureDomain] {
		f.later(node, platformTimeout, HeadFailed{})
		return
	}
	f.reads++
	f.charge(node, headAnswerBytes)
	head := f.head
	f.later(node, f.platformDelay(), HeadRead{Head: head, Asked: effect.Asked})
}

func (f *fleet) platformDelay() time.Duration {
	return 10*time.Millisecond + time.Duration(f.random.Float64()*float64(f.late))
}

func (f *fleet) listHosts(node *fleetNode) {
	if f.platformCut[node.host.FailureDomain] {
		return
	}
	f.reads++
	node.listReads++
	f.later(node, f.platformDelay(), HostsListed{Hosts: f.hosts})
}

func (f *fleet) fetch(node *fleetNode, effect FetchSnapshot) {
	if effect.Address == "" {
		f.reads++
		f.charge(node, len(f.snapshots[effect.Head.Generation].Raw))
		f.later(node, f.platformDelay(), SnapshotFetched{Snapshot: f.snapshots[effect.Head.Generation]})
		return
	}
	source := f.byAddress[effect.Address]
	if f.lost(node, source) || source.view.Snapshot == nil {
		f.later(node, exchangeTimeout, FetchFailed{Generation: effect.Head.Generation})
		return
	}
	held := source.view.Snapshot
	bytes := f.packed[held.Generation] + 2*envelopeBytes + connectionBytes
	f.charge(source, bytes)
	f.charge(node, bytes)
	f.later(node, 2*f.delay(node, source), SnapshotFetched{Snapshot: held})
}

// charge records a message at the node.
func (f *fleet) charge(node *fleetNode, bytes int) {
	node.bytes += bytes
	node.msgs++
}

// lost reports whether a call from a to b gets no answer.
func (f *fleet) lost(a, b *fleetNode) bool {
	if b.down || b.frozen || f.random.Float64() < f.loss {
		return true
	}
	from, to := a.host.FailureDomain, b.host.FailureDomain
	return from != to && (f.cut[from] || f.cut[to])
}

// carry records the bytes of a message at both nodes, and the time to encode and decode it. To save time, only one
// message in decodeOneIn is decoded, and its decoding time is counted for all of them.
func (f *fleet) carry(from, to *fleetNode, message wire.Exchange, overhead int) wire.Exchange {
	began := time.Now()
	raw, err := json.Marshal(message)
	if err != nil {
		f.tb.Fatal(err)
	}
	from.spent += time.Since(began)
	f.charge(from, len(raw)+overhead)
	f.charge(to, len(raw)+overhead)
	f.carried++
	if f.carried%decodeOneIn != 0 {
		return message
	}
	began = time.Now()
	var received wire.Exchange
	if err := json.Unmarshal(raw, &received); err != nil {
		f.tb.Fatal(err)
	}
	to.spent += decodeOneIn * time.Since(began)
	return received
}

func (f *fleet) exchange(node *fleetNode, effect Exchange) {
	peer := f.byAddress[effect.Address]
	if f.lost(node, peer) || f.noSpread {
		f.charge(node, sizeOf(effect.Message)+envelopeBytes+connectionBytes)
		f.later(node, deadTimeout, ExchangeFailed{Sent: effect})
		return
	}
	asked := f.carry(node, peer, effect.Message, envelopeBytes+connectionBytes)
	there := f.delay(node, peer)
	life := peer.life
	f.after(there, func() {
		if peer.down || peer.life != life {
			f.later(node, deadTimeout, ExchangeFailed{Sent: effect})
			return
		}
		for _, made := range f.step(peer, ExchangeAsked{Message: asked}) {
			if answer, ok := made.(AnswerExchange); ok {
				told := f.carry(peer, node, answer.Message, envelopeBytes)
				f.later(node, there, ExchangeAnswered{Sent: effect, Message: told})
			}
		}
	})
}

func (f *fleet) askProbe(node *fleetNode, effect AskProbe) {
	via, target := f.byID[effect.Via.ID], f.byID[effect.Target.ID]
	f.charge(node, 2*envelopeBytes+connectionBytes)
	if f.lost(node, via) {
		f.later(node, viaTimeout, ProbeAnswered{Target: target.host.ID})
		return
	}
	f.charge(via, 4*envelopeBytes+2*connectionBytes)
	reached := !f.lost(via, target)
	delay := 2 * f.delay(node, via)
	if !reached {
		delay += deadTimeout
	}
	f.later(node, delay, ProbeAnswered{Target: target.host.ID, Answered: true, Reached: reached})
}

// live returns the nodes whose process is running.
func (f *fleet) live() []*fleetNode {
	var live []*fleetNode
	for _, node := range f.nodes {
		if !node.down {
			live = append(live, node)
		}
	}
	return live
}
