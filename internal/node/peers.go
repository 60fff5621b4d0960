package node

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/membership"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	exchangeInterval = 1250 * time.Millisecond // between regular exchanges
	smallInterval    = 500 * time.Millisecond  // the same in a small system
	smallSystem      = 60                      // members up to which a system counts as small
	hurryDelay       = 100 * time.Millisecond  // from a change to the early exchange that gossips it
	hurryBurst       = 6                       // most early exchanges that a node may do in a burst
	hurryRefill      = 10 * time.Second        // until the node may do one more early exchange
	syncPerMember    = 15 * time.Millisecond   // time between full table comparisons, per member
	syncWhileTelling = 4                       // factor on that time while updates are being gossiped, when tables differ anyway
	joiningUpdates   = 200                     // a message with more updates than this is a bulk transfer, which is not gossiped further
	otherDomainOneIn = 5                       // one exchange in this many goes to another failure domain
	deadOneIn        = 5                       // one retry in this many goes to a member that is believed dead
	hostsInterval    = 2 * time.Second         // average time between reads of the host list, over all nodes together
	seedPatience     = 2 * time.Second         // time that a starting node waits for its seeds before it reads the host list
	probeVias        = 3                       // nodes that are asked to probe an unreachable member
	probeTimeout     = 2 * time.Second         // for the results of all indirect probes of a member
)

// exchanging is the schedule of exchanges with peers.
type exchanging struct {
	due      time.Duration
	tokens   int // early exchanges that are allowed now
	refillAt time.Duration
	hurryDue time.Duration // time of the next early exchange; 0 if none is scheduled
	syncDue  time.Duration
	differs  bool // the table of a peer differed from this node's since the last full comparison
}

// probe is an indirect probe: other nodes are asked to contact a member that this node cannot reach.
type probe struct {
	pending  int  // nodes that have not answered yet
	answered bool // at least one node answered
	due      time.Duration
}

// hurry schedules an early exchange to gossip a change before the next regular one, if the rate limit allows it.
func (s *State) hurry() {
	if s.exchange.tokens > 0 && s.exchange.hurryDue == 0 {
		s.exchange.hurryDue = s.now + hurryDelay
	}
}

// small reports whether the system is so small that a full table comparison is cheap enough for every difference.
func (s *State) small() bool { return s.table.Len() <= smallSystem }

// pollPeers starts a regular or an early exchange if one is due.
func (s *State) pollPeers() {
	if s.now >= s.exchange.refillAt {
		s.exchange.refillAt = s.now + hurryRefill
		if s.small() {
			s.exchange.refillAt = s.now + smallInterval
		}
		s.exchange.tokens = min(s.exchange.tokens+1, hurryBurst)
	}
	regular := s.now >= s.exchange.due
	hurried := s.exchange.hurryDue > 0 && s.now >= s.exchange.hurryDue
	if !regular && !hurried {
		return
	}
	s.exchange.hurryDue = 0
	if !regular {
		s.exchange.tokens--
		s.exchangeWithSome()
		return
	}
	interval := exchangeInterval
	if s.small() {
		interval = smallInterval
	}
	s.exchange.due = s.now + interval - time.Duration(s.random.Int64N(int64(interval/5)))
	s.exchangeWithSome()
	s.retryUnreachable()
}

// exchangeWithSome starts an exchange with a random reachable peer. If there is none, it tries a host that has not been
// contacted yet.
func (s *State) exchangeWithSome() {
	own := s.table.Self().Host.FailureDomain
	outside := s.random.IntN(otherDomainOneIn) == 0
	peers := s.table.Pick(s.random, 1, func(member *membership.Member) bool {
		return s.reachable(member) && (member.Host().FailureDomain != own) == outside
	})
	if len(peers) == 0 {
		peers = s.table.Pick(s.random, 1, s.reachable)
	}
	if len(peers) == 0 {
		s.exchangeWithStranger()
		return
	}
	s.send(peers[0])
}

// exchangeWithStranger starts an exchange with a listed host that has sent no record yet, or with a seed.
func (s *State) exchangeWithStranger() {
	listed := s.table.Pick(s.random, 1, func(member *membership.Member) bool {
		return member.Record.Life == 0 && !member.Removed()
	})
	if len(listed) > 0 && (len(s.seeds) == 0 || s.random.IntN(2) == 0) {
		s.send(listed[0])
		return
	}
	if len(s.seeds) == 0 {
		return
	}
	address := s.seeds[s.random.IntN(len(s.seeds))]
	if address != s.table.Self().Host.ControlAddress {
		s.sendTo("", address, s.message(""))
	}
}

// retryUnreachable starts an exchange with a member that did not answer before. Members that are believed dead are
// retried less often.
func (s *State) retryUnreachable() {
	dead := s.random.IntN(deadOneIn) == 0
	if !dead && len(s.unreachable) == 0 {
		return
	}
	peers := s.table.Pick(s.random, 1, func(member *membership.Member) bool {
		if member.Removed() || member.Record.Life == 0 && !dead {
			return false
		}
		if member.Usable() {
			return s.unreachable[member.ID()]
		}
		return dead
	})
	if len(peers) > 0 {
		s.send(peers[0])
	}
}

// tellPeers starts exchanges with up to count reachable peers at once, half of them in this node's failure domain.
func (s *State) tellPeers(count int) {
	own := s.table.Self().Host.FailureDomain
	near := s.table.Pick(s.random, count/2, func(member *membership.Member) bool {
		return s.reachable(member) && member.Host().FailureDomain == own
	})
	anywhere := s.table.Pick(s.random, count-len(near), s.reachable)
	for _, peer := range append(near, anywhere...) {
		s.send(peer)
	}
}

// contact starts an exchange with a host to which a data-path connection failed, to check whether it is reachable.
func (s *State) contact(id core.HostID) {
	member := s.table.Member(id)
	if member != nil && id != s.table.Self().Host.ID {
		s.send(member.Host())
	}
}

// send starts an exchange with the host unless one is already in flight.
func (s *State) send(host core.Host) {
	if s.contacting[host.ID] {
		return
	}
	s.contacting[host.ID] = true
	message := s.message(host.ID)
	if member := s.table.Member(host.ID); member != nil && member.Verdict != wire.Alive {
		message.Updates = append(message.Updates, s.table.About(host.ID)...)
	}
	s.sendTo(host.ID, host.ControlAddress, message)
}

// sendTo starts an exchange and attaches a digest of the table if a full comparison is due.
func (s *State) sendTo(peer core.HostID, address string, message wire.Exchange) {
	if s.exchange.differs && s.now >= s.exchange.syncDue || s.table.Len() == 1 {
		s.exchange.syncDue = s.now + s.syncWait()
		s.exchange.differs = false
		message.Digest = s.table.Digest(s.random.Uint64())
	}
	s.perform(Exchange{Peer: peer, Address: address, Asked: s.now, Message: message})
}

// syncWait returns the time until the next full table comparison. It grows with the number of members, as does the size
// of the digest.
func (s *State) syncWait() time.Duration {
	wait := time.Duration(s.table.Len()) * syncPerMember
	if s.table.Spreading() && !s.small() {
		wait *= syncWhileTelling
	}
	return wait
}

// message returns an exchange message with the updates to gossip to the peer.
func (s *State) message(peer core.HostID) wire.Exchange {
	message := s.bareMessage()
	message.Updates = s.table.Rumours(peer)
	return message
}

// bareMessage returns an exchange message without updates.
func (s *State) bareMessage() wire.Exchange {
	return wire.Exchange{
		From:       s.table.Self().Host.ID,
		Generation: s.generation(),
		Stale:      s.look.stale,
		Table:      s.table.Hash(),
	}
}

// exchangeAsked merges another node's message and answers with the differences from its digest, or with queued updates
// if it sent no digest.
func (s *State) exchangeAsked(event ExchangeAsked) {
	s.take(event.Message)
	answer := s.bareMessage()
	if event.Message.Digest != nil {
		answer.Updates, answer.Missing = s.table.Differences(event.Message.Digest)
	} else {
		answer.Updates = s.table.Rumours(event.Message.From)
	}
	if sender := s.table.Member(event.Message.From); sender != nil && sender.Verdict != wire.Alive {
		answer.Updates = append(answer.Updates, s.table.About(event.Message.From)...)
	}
	s.perform(AnswerExchange{Token: event.Token, Message: answer})
}

// exchangeAnswered merges the answer to an exchange. If a digest was sent, it returns to the peer the updates that the
// peer lacks.
func (s *State) exchangeAnswered(event ExchangeAnswered) {
	delete(s.contacting, event.Sent.Peer)
	s.reached(event.Message.From)
	older := s.take(event.Message)
	s.compared(event)
	if event.Sent.Message.Digest == nil {
		return
	}
	updates := s.table.Named(event.Message.Missing, older)
	if len(updates) > 0 {
		message := s.bareMessage()
		message.Updates = updates
		s.perform(Exchange{Peer: event.Sent.Peer, Address: event.Sent.Address, Asked: s.now, Message: message})
	}
}

// take merges another node's message and returns the members for which this node holds newer data.
func (s *State) take(message wire.Exchange) (older []core.HostID) {
	for _, update := range message.Updates {
		merged := s.merge(update, message)
		if merged.Older {
			older = append(older, update.Host)
		}
		if merged.Incomplete {
			s.exchange.differs = true
			s.hurry()
		}
		if merged.News {
			s.changed(update.Host)
			s.hurry()
		}
	}
	if message.Table != s.table.Hash() {
		s.exchange.differs = true
		if s.small() {
			s.hurry()
		}
	}
	if sender := s.table.Member(message.From); sender != nil {
		s.hear(message.Generation, sender.Host().ControlAddress)
	}
	return older
}

// merge applies one update of the message. Updates of a bulk transfer are not gossiped further.
func (s *State) merge(update wire.Update, message wire.Exchange) membership.Merged {
	if len(message.Updates) > joiningUpdates {
		return s.table.Learn(update, s.now)
	}
	return s.table.Merge(update, message.From, s.now)
}

// reached records that a member answered. All members of its failure domain are then considered reachable again.
func (s *State) reached(id core.HostID) {
	if !s.unreachable[id] {
		return
	}
	domain := s.table.Member(id).Host().FailureDomain
	for other := range s.unreachable {
		if s.table.Member(other).Host().FailureDomain == domain {
			delete(s.unreachable, other)
		}
	}
	delete(s.probes, id)
	s.changedAny()
}

// exchangeFailed marks the member as unreachable, which removes it from the views, and asks other nodes to probe it.
func (s *State) exchangeFailed(sent Exchange) {
	delete(s.contacting, sent.Peer)
	member := s.table.Member(sent.Peer)
	if member == nil || sent.Asked < s.look.since {
		return
	}
	s.unreachable[sent.Peer] = true
	s.changed(sent.Peer)
	if member.Record.Life == 0 || member.Verdict != wire.Alive || s.probes[sent.Peer] != nil {
		return
	}
	s.startProbe(member.Host())
}

// startProbe asks up to probeVias nodes to probe the target, preferably all but one in the target's failure domain.
func (s *State) startProbe(target core.Host) {
	vias := s.table.Pick(s.random, probeVias-1, func(member *membership.Member) bool {
		return member.ID() != target.ID && s.reachable(member) && member.Host().FailureDomain == target.FailureDomain
	})
	others := s.table.Pick(s.random, probeVias-len(vias), func(member *membership.Member) bool {
		return member.ID() != target.ID && s.reachable(member) && member.Host().FailureDomain != target.FailureDomain
	})
	vias = append(vias, others...)
	if len(vias) == 0 {
		return
	}
	s.probes[target.ID] = &probe{pending: len(vias), due: s.now + probeTimeout}
	for _, via := range vias {
		s.perform(AskProbe{Via: via, Target: target})
	}
}

func (s *State) probeAnswered(event ProbeAnswered) {
	probe := s.probes[event.Target]
	if probe == nil {
		return
	}
	if event.Reached {
		delete(s.probes, event.Target)
		return
	}
	probe.pending--
	probe.answered = probe.answered || event.Answered
	if probe.pending == 0 {
		s.concludeProbe(event.Target)
	}
}

// expireProbes concludes the probes whose time-out has passed.
func (s *State) expireProbes() {
	for id, probe := range s.probes {
		if s.now >= probe.due {
			s.concludeProbe(id)
		}
	}
}

// concludeProbe marks the member as suspect if at least one other node answered and none could reach the member. If no
// other node answered, this node may itself be partitioned, so the member is not suspected.
func (s *State) concludeProbe(id core.HostID) {
	answered := s.probes[id].answered
	delete(s.probes, id)
	if answered && s.table.Accuse(id, wire.Suspect, s.now) {
		s.changedAny()
		s.hurry()
	}
}

// pollHosts reads the platform's host list if a read is due.
func (s *State) pollHosts() {
	if s.now < s.hostsDue {
		return
	}
	first := s.hostsDue <= seedPatience
	s.hostsDue = s.now + s.hostsWait(first)
	if first && s.listed() {
		return // the host list has already arrived through the seeds
	}
	s.perform(ListHosts{})
}

// listed reports whether the platform is known to list this node's host.
func (s *State) listed() bool { return s.table.Member(s.table.Self().Host.ID).Listing != "" }

// hostsWait returns a random time until this node's next read of the host list, such that all nodes together read it
// about once per hostsInterval. A node whose host is not listed yet reads it every hostsInterval.
func (s *State) hostsWait(first bool) time.Duration {
	if !s.listed() {
		return hostsInterval
	}
	live := 0
	for _, member := range s.table.Members() {
		if s.reachable(member) {
			live++
		}
	}
	share := 0.5 + s.random.Float64()
	if first { // spreads the reads of nodes that start at the same time
		share = s.random.Float64()
	}
	return time.Duration(share * float64(hostsInterval) * float64(max(1, live)))
}

// hostsListed applies the platform's host list. An empty list is ignored, because it is taken for a platform outage.
func (s *State) hostsListed(hosts []core.Host) {
	joined := s.reachablePeers() > 0 // without peers, there is nobody to gossip the changes to
	if len(hosts) > 0 && s.table.List(hosts, joined) {
		s.changedAny()
		s.hurry()
	}
}
