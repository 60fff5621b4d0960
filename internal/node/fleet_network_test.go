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
	if f.platformPartitioned[node.host.FailureDomain] {
		f.deliver(node, platformTimeout, HeadReadFailed{})
		return
	}
	f.reads++
	f.countMessage(node, headAnswerBytes)
	head := f.head
	f.deliver(node, f.platformDelay(), HeadRead{Head: head, StartedAt: effect.StartedAt})
}

func (f *fleet) platformDelay() time.Duration {
	return 10*time.Millisecond + time.Duration(f.random.Float64()*float64(f.maxPlatformDelay))
}

func (f *fleet) listHosts(node *fleetNode) {
	if f.platformPartitioned[node.host.FailureDomain] {
		return
	}
	f.reads++
	node.listReads++
	f.deliver(node, f.platformDelay(), HostsListed{Hosts: f.hosts})
}

func (f *fleet) fetch(node *fleetNode, effect FetchSnapshot) {
	if effect.Address == "" {
		f.reads++
		f.countMessage(node, len(f.snapshots[effect.Head.Generation].Raw))
		f.deliver(node, f.platformDelay(), SnapshotFetched{Snapshot: f.snapshots[effect.Head.Generation]})
		return
	}
	source := f.byAddress[effect.Address]
	if f.callFails(node, source) || source.view.Snapshot == nil {
		f.deliver(node, exchangeTimeout, SnapshotFetchFailed{Generation: effect.Head.Generation})
		return
	}
	snapshot := source.view.Snapshot
	bytes := f.snapshotBytes[snapshot.Generation] + 2*envelopeBytes + connectionBytes
	f.countMessage(source, bytes)
	f.countMessage(node, bytes)
	f.deliver(node, 2*f.delay(node, source), SnapshotFetched{Snapshot: snapshot})
}

// countMessage records a message at the node.
func (f *fleet) countMessage(node *fleetNode, bytes int) {
	node.bytes += bytes
	node.msgs++
}

// callFails reports whether a call from a to b gets no answer.
func (f *fleet) callFails(a, b *fleetNode) bool {
	if b.down || b.frozen || f.random.Float64() < f.loss {
		return true
	}
	from, to := a.host.FailureDomain, b.host.FailureDomain
	return from != to && (f.partitioned[from] || f.partitioned[to])
}

// transmit records the bytes of a message at both nodes, and the time to encode and decode it. To save time, only one
// message in decodeOneIn is decoded, and its decoding time is counted for all of them.
func (f *fleet) transmit(from, to *fleetNode, message wire.Exchange, overhead int) wire.Exchange {
	began := time.Now()
	raw, err := json.Marshal(message)
	if err != nil {
		f.tb.Fatal(err)
	}
	from.cpuTime += time.Since(began)
	f.countMessage(from, len(raw)+overhead)
	f.countMessage(to, len(raw)+overhead)
	f.transmitted++
	if f.transmitted%decodeOneIn != 0 {
		return message
	}
	began = time.Now()
	var received wire.Exchange
	if err := json.Unmarshal(raw, &received); err != nil {
		f.tb.Fatal(err)
	}
	to.cpuTime += decodeOneIn * time.Since(began)
	return received
}

func (f *fleet) exchange(node *fleetNode, effect SendExchange) {
	peer := f.byAddress[effect.Address]
	if f.callFails(node, peer) || f.exchangesDisabled {
		f.countMessage(node, sizeOf(effect.Message)+envelopeBytes+connectionBytes)
		f.deliver(node, deadTimeout, ExchangeFailed{Sent: effect})
		return
	}
	received := f.transmit(node, peer, effect.Message, envelopeBytes+connectionBytes)
	oneWay := f.delay(node, peer)
	starts := peer.starts
	f.schedule(oneWay, func() {
		if peer.down || peer.starts != starts {
			f.deliver(node, deadTimeout, ExchangeFailed{Sent: effect})
			return
		}
		for _, produced := range f.step(peer, ExchangeReceived{Message: received}) {
			if answer, ok := produced.(AnswerExchange); ok {
				reply := f.transmit(peer, node, answer.Message, envelopeBytes)
				f.deliver(node, oneWay, ExchangeAnswered{Sent: effect, Message: reply})
			}
		}
	})
}

func (f *fleet) requestProbe(node *fleetNode, effect RequestProbe) {
	via, target := f.byID[effect.Proxy.ID], f.byID[effect.Target.ID]
	f.countMessage(node, 2*envelopeBytes+connectionBytes)
	if f.callFails(node, via) {
		f.deliver(node, indirectProbeTimeout, ProbeAnswered{Target: target.host.ID})
		return
	}
	f.countMessage(via, 4*envelopeBytes+2*connectionBytes)
	reached := !f.callFails(via, target)
	delay := 2 * f.delay(node, via)
	if !reached {
		delay += deadTimeout
	}
	f.deliver(node, delay, ProbeAnswered{Target: target.host.ID, Answered: true, Reached: reached})
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
