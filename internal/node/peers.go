package node

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/membership"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	exchangeInterval = 1250 * time.Millisecond
	smallInterval    = 500 * time.Millisecond // between exchanges in a small system
	smallSystem      = 60                     // members
	hurryDelay       = 100 * time.Millisecond // from news to the exchange that passes it on
	hurryBurst       = 6                      // exchanges beside the regular ones that a node may do at once
	hurryRefill      = 10 * time.Second       // for one more of them
	syncPerMember    = 15 * time.Millisecond  // time between comparisons of whole tables, for each member
	syncWhileTelling = 4                      // times as long while changes spread, when tables differ anyway
	joiningUpdates   = 200                    // a message with more updates brings a node up to date
	otherDomainOneIn = 5                      // one exchange in so many goes to another failure domain
	deadOneIn        = 5                      // and one to a member that is taken for dead, if there is any
	hostsInterval    = 2 * time.Second        // between two reads of the host list by any of the nodes
	seedPatience     = 2 * time.Second        // until a node that has seeds reads the host list at its start
	probeVias        = 3                      // nodes through which an unreachable member is asked
	probeTimeout     = 2 * time.Second
)

type exchanging struct {
	due      time.Duration
	tokens   int // exchanges beside the regular ones
	refillAt time.Duration
	hurryDue time.Duration // 0: nothing to hurry for
	syncDue  time.Duration
	differs  bool // the last peer held other members
}

// probe asks other nodes about a member that this one cannot reach.
type probe struct {
	pending  int
	answered bool
	due      time.Duration
}

// hurry passes news on before the next regular exchange.
func (s *State) hurry() {
	if s.exchange.tokens > 0 && s.exchange.hurryDue == 0 {
		s.exchange.hurryDue = s.now + hurryDelay
	}
}

// small tells whether whole tables are compared so cheaply that every difference is worth it.
func (s *State) small() bool { return s.table.Len() <= smallSystem }

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

// exchangeWithSome exchanges with a peer drawn at random, or with a seed while none is known.
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

// exchangeWithStranger turns to a listed host that was not heard of, or to a seed.
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

// retryUnreachable asks a member again that gave no answer, more seldom once it is taken for dead.
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

// tellPeers exchanges with some peers at once.
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

// contact checks a host that traffic could not connect to.
func (s *State) contact(id core.HostID) {
	member := s.table.Member(id)
	if member != nil && id != s.table.Self().Host.ID {
		s.send(member.Host())
	}
}

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

func (s *State) sendTo(peer core.HostID, address string, message wire.Exchange) {
	if s.exchange.differs && s.now >= s.exchange.syncDue || s.table.Len() == 1 {
		s.exchange.syncDue = s.now + s.syncWait()
		s.exchange.differs = false
		message.Digest = s.table.Digest(s.random.Uint64())
	}
	s.perform(Exchange{Peer: peer, Address: address, Asked: s.now, Message: message})
}

// syncWait returns the time until the next comparison of whole tables, which costs bytes for each member.
func (s *State) syncWait() time.Duration {
	wait := time.Duration(s.table.Len()) * syncPerMember
	if s.table.Spreading() && !s.small() {
		wait *= syncWhileTelling
	}
	return wait
}

// message returns what this node tells the peer.
func (s *State) message(peer core.HostID) wire.Exchange {
	message := s.bareMessage()
	message.Updates = s.table.Rumours(peer)
	return message
}

func (s *State) bareMessage() wire.Exchange {
	return wire.Exchange{
		From:       s.table.Self().Host.ID,
		Generation: s.generation(),
		Stale:      s.look.stale,
		Table:      s.table.Hash(),
	}
}

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

// take merges what another node said, and returns the members of which this one knows something newer.
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

func (s *State) merge(update wire.Update, message wire.Exchange) membership.Merged {
	if len(message.Updates) > joiningUpdates {
		return s.table.Learn(update, s.now)
	}
	return s.table.Merge(update, message.From, s.now)
}

// reached takes note that a member answers. What parted this node from its failure domain is then over.
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

// exchangeFailed leaves the member out of the views and asks other nodes whether they reach it.
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

func (s *State) expireProbes() {
	for id, probe := range s.probes {
		if s.now >= probe.due {
			s.concludeProbe(id)
		}
	}
}

// concludeProbe suspects the member if at least one other node answered and none reached it: a node that reaches
// nobody is cut off itself.
func (s *State) concludeProbe(id core.HostID) {
	answered := s.probes[id].answered
	delete(s.probes, id)
	if answered && s.table.Accuse(id, wire.Suspect, s.now) {
		s.changedAny()
		s.hurry()
	}
}

func (s *State) pollHosts() {
	if s.now < s.hostsDue {
		return
	}
	first := s.hostsDue <= seedPatience
	s.hostsDue = s.now + s.hostsWait(first)
	if first && s.listed() {
		return // the seeds told what the platform lists
	}
	s.perform(ListHosts{})
}

func (s *State) listed() bool { return s.table.Member(s.table.Self().Host.ID).Listing != "" }

// hostsWait draws the time until this node's next read, so that all nodes together read once in hostsInterval. A host
// that is not listed yet reads more often.
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
	if first { // nodes that start together spread their reads
		share = s.random.Float64()
	}
	return time.Duration(share * float64(hostsInterval) * float64(max(1, live)))
}

// hostsListed takes the host list. An empty one is taken for an outage.
func (s *State) hostsListed(hosts []core.Host) {
	joined := s.reachablePeers() > 0 // a node that knows nobody yet has nothing to tell of the list
	if len(hosts) > 0 && s.table.List(hosts, joined) {
		s.changedAny()
		s.hurry()
	}
}
