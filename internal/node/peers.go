package node

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/membership"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	exchangeInterval            = 1250 * time.Millisecond // between regular exchanges
	smallSystemExchangeInterval = 500 * time.Millisecond  // the same in a small system
	smallSystemMembers          = 60                      // members up to which a system counts as small
	earlyExchangeDelay          = 100 * time.Millisecond  // from a change to the early exchange that gossips it
	earlyExchangeBurst          = 6                       // most early exchanges that a node may do in a burst
	earlyExchangeRefill         = 10 * time.Second        // until the node may do one more early exchange
	syncIntervalPerMember       = 15 * time.Millisecond   // time between full table comparisons, per member
	gossipSyncFactor            = 4                       // factor on that time while updates are being gossiped, when tables differ anyway
	bulkTransferUpdates         = 200                     // a message with more updates than this is a bulk transfer, which is not gossiped further
	crossDomainOneIn            = 5                       // one exchange in this many goes to another failure domain
	deadRetryOneIn              = 5                       // one retry in this many goes to a member that is believed dead
	probeProxies                = 3                       // nodes that are asked to probe an unreachable member
	probeTimeout                = 2 * time.Second         // for the results of all indirect probes of a member
)

// exchangeSchedule is the schedule of exchanges with peers.
type exchangeSchedule struct {
	due           time.Duration
	tokens        int // early exchanges that are allowed now
	refillAt      time.Duration
	earlyDue      time.Duration // time of the next early exchange; 0 if none is scheduled
	syncDue       time.Duration
	listedSyncDue time.Duration // the same for peers that are known from the host list alone
	tablesDiffer  bool          // the table of a peer differed from this node's since the last full comparison
}

// indirectProbe is an indirect probe: other nodes are asked to contact a member that this node cannot reach.
type indirectProbe struct {
	pending  int  // nodes that have not answered yet
	answered bool // at least one node answered
	deadline time.Duration
}

// scheduleEarlyExchange schedules an early exchange to gossip a change before the next regular one, if the rate limit
// allows it.
func (s *State) scheduleEarlyExchange() {
	if s.exchange.tokens > 0 && s.exchange.earlyDue == 0 {
		s.exchange.earlyDue = s.now + earlyExchangeDelay
	}
}

// isSmall reports whether the system is so small that a full table comparison is cheap enough for every difference.
func (s *State) isSmall() bool { return s.table.Len() <= smallSystemMembers }

// pollPeers starts a regular or an early exchange if one is due.
func (s *State) pollPeers() {
	if s.now >= s.exchange.refillAt {
		s.exchange.refillAt = s.now + earlyExchangeRefill
		if s.isSmall() {
			s.exchange.refillAt = s.now + smallSystemExchangeInterval
		}
		s.exchange.tokens = min(s.exchange.tokens+1, earlyExchangeBurst)
	}
	regular := s.now >= s.exchange.due
	early := s.exchange.earlyDue > 0 && s.now >= s.exchange.earlyDue
	if !regular && !early {
		return
	}
	s.exchange.earlyDue = 0
	if !regular {
		s.exchange.tokens--
		s.exchangeWithRandomPeer()
		return
	}
	interval := exchangeInterval
	if s.isSmall() {
		interval = smallSystemExchangeInterval
	}
	s.exchange.due = s.now + interval - time.Duration(s.random.Int64N(int64(interval/5)))
	s.exchangeWithRandomPeer()
	s.retryUnreachable()
}

// exchangeWithRandomPeer starts an exchange with a random reachable peer. If there is none, it tries a host that has
// not been contacted yet.
func (s *State) exchangeWithRandomPeer() {
	ownDomain := s.table.Self().Host.FailureDomain
	crossDomain := s.random.IntN(crossDomainOneIn) == 0
	peers := s.table.Pick(s.random, 1, func(member *membership.Member) bool {
		return s.reachable(member) && (member.Host().FailureDomain != ownDomain) == crossDomain
	})
	if len(peers) == 0 {
		peers = s.table.Pick(s.random, 1, s.reachable)
	}
	if len(peers) == 0 {
		s.exchangeWithNewHost()
		return
	}
	s.startExchange(peers[0])
}

// exchangeWithNewHost starts an exchange with a listed host that has sent no record yet, or with a seed.
func (s *State) exchangeWithNewHost() {
	listed := s.table.Pick(s.random, 1, func(member *membership.Member) bool {
		return member.Record.StartEpoch == 0 && !member.Removed()
	})
	if len(listed) > 0 && (len(s.seeds) == 0 || s.random.IntN(2) == 0) {
		s.startExchange(listed[0])
		return
	}
	if len(s.seeds) == 0 {
		return
	}
	address := s.seeds[s.random.IntN(len(s.seeds))]
	if address != s.table.Self().Host.ControlAddress {
		s.sendExchange("", address, s.gossipMessage(""))
	}
}

// retryUnreachable starts an exchange with a member that did not answer before. Members that are believed dead are
// retried less often.
func (s *State) retryUnreachable() {
	includeDead := s.random.IntN(deadRetryOneIn) == 0
	if !includeDead && len(s.unreachable) == 0 {
		return
	}
	peers := s.table.Pick(s.random, 1, func(member *membership.Member) bool {
		if member.Removed() || member.Record.StartEpoch == 0 && !includeDead {
			return false
		}
		if member.Usable() {
			return s.unreachable[member.ID()]
		}
		return includeDead
	})
	if len(peers) > 0 {
		s.startExchange(peers[0])
	}
}

// exchangeWithPeers starts exchanges with up to count reachable peers at once, half of them in this node's failure
// domain.
func (s *State) exchangeWithPeers(count int) {
	ownDomain := s.table.Self().Host.FailureDomain
	sameDomain := s.table.Pick(s.random, count/2, func(member *membership.Member) bool {
		return s.reachable(member) && member.Host().FailureDomain == ownDomain
	})
	anywhere := s.table.Pick(s.random, count-len(sameDomain), s.reachable)
	for _, peer := range append(sameDomain, anywhere...) {
		s.startExchange(peer)
	}
}

// checkHost starts an exchange with a host to which a data-path connection failed, to check whether it is reachable.
func (s *State) checkHost(id core.HostID) {
	member := s.table.Member(id)
	if member != nil && id != s.table.Self().Host.ID {
		s.startExchange(member.Host())
	}
}

// startExchange starts an exchange with the host unless one is already in flight.
func (s *State) startExchange(host core.Host) {
	if s.inFlight[host.ID] {
		return
	}
	s.inFlight[host.ID] = true
	message := s.gossipMessage(host.ID)
	if member := s.table.Member(host.ID); member != nil && member.Verdict != wire.Alive {
		message.Updates = append(message.Updates, s.table.UpdateFor(host.ID)...)
	}
	s.sendExchange(host.ID, host.ControlAddress, message)
}

// sendExchange starts an exchange and attaches a digest of the table if a full comparison is due.
func (s *State) sendExchange(peer core.HostID, address string, message wire.Exchange) {
	if s.takeComparison(peer) {
		message.Digest = s.table.Digest(s.random.Uint64())
	}
	s.perform(SendExchange{Peer: peer, Address: address, SentAt: s.now, Message: message})
}

// takeComparison reports whether a full comparison with the peer is due, and schedules the next one. Peers that are known from the
// host list alone have a schedule of their own: no other peer may know what they know, but they may also never have started, and
// must not put off the comparisons with others.
func (s *State) takeComparison(peer core.HostID) bool {
	if s.isOnlyListed(peer) {
		due := s.now >= s.exchange.listedSyncDue
		if due {
			s.exchange.listedSyncDue = s.now + s.nextSyncDelay()
		}
		return due
	}
	due := s.exchange.tablesDiffer && s.now >= s.exchange.syncDue || s.table.Len() == 1
	if due {
		s.exchange.syncDue = s.now + s.nextSyncDelay()
		s.exchange.tablesDiffer = false
	}
	return due
}

// isOnlyListed reports whether the host is listed but no record of its process has been received.
func (s *State) isOnlyListed(id core.HostID) bool {
	member := s.table.Member(id)
	return member != nil && member.Record.StartEpoch == 0
}

// nextSyncDelay returns the time until the next full table comparison. It grows with the number of members, as does the
// size of the digest.
func (s *State) nextSyncDelay() time.Duration {
	wait := time.Duration(s.table.Len()) * syncIntervalPerMember
	if s.table.HasGossip() && !s.isSmall() {
		wait *= gossipSyncFactor
	}
	return wait
}

// gossipMessage returns an exchange message with the updates to gossip to the peer.
func (s *State) gossipMessage(peer core.HostID) wire.Exchange {
	message := s.baseMessage()
	message.Updates = s.table.NextGossip(peer)
	return message
}

// baseMessage returns an exchange message without updates.
func (s *State) baseMessage() wire.Exchange {
	return wire.Exchange{
		From:        s.table.Self().Host.ID,
		Generation:  s.generation(),
		Stale:       s.freshness.stale,
		MembersHash: s.table.Hash(),
	}
}

// exchangeReceived merges another node's message and answers with the differences from its digest, or with queued
// updates if it sent no digest.
func (s *State) exchangeReceived(event ExchangeReceived) {
	s.mergeMessage(event.Message)
	answer := s.baseMessage()
	if event.Message.Digest != nil {
		answer.Updates, answer.MissingMembers = s.table.Differences(event.Message.Digest)
	} else {
		answer.Updates = s.table.NextGossip(event.Message.From)
	}
	if sender := s.table.Member(event.Message.From); sender != nil && sender.Verdict != wire.Alive {
		answer.Updates = append(answer.Updates, s.table.UpdateFor(event.Message.From)...)
	}
	s.perform(AnswerExchange{Token: event.Token, Message: answer})
}

// exchangeAnswered merges the answer to an exchange. If a digest was sent, it returns to the peer the updates that the
// peer lacks.
func (s *State) exchangeAnswered(event ExchangeAnswered) {
	delete(s.inFlight, event.Sent.Peer)
	s.markReachable(event.Message.From)
	outdated := s.mergeMessage(event.Message)
	s.recordConfirmation(event)
	if event.Sent.Message.Digest == nil {
		return
	}
	updates := s.table.UpdatesFor(event.Message.MissingMembers, outdated)
	if len(updates) > 0 {
		message := s.baseMessage()
		message.Updates = updates
		s.perform(SendExchange{Peer: event.Sent.Peer, Address: event.Sent.Address, SentAt: s.now, Message: message})
	}
}

// mergeMessage merges another node's message and returns the members for which this node holds newer data.
func (s *State) mergeMessage(message wire.Exchange) (outdated []core.HostID) {
	for _, update := range message.Updates {
		merged := s.mergeUpdate(update, message)
		if merged.HaveNewer {
			outdated = append(outdated, update.Host)
		}
		if merged.NeedsHost {
			s.exchange.tablesDiffer = true
			s.scheduleEarlyExchange()
		}
		if merged.Changed {
			s.markChanged(update.Host)
			s.scheduleEarlyExchange()
		}
	}
	if message.MembersHash != s.table.Hash() {
		s.exchange.tablesDiffer = true
		if s.isSmall() {
			s.scheduleEarlyExchange()
		}
	}
	if sender := s.table.Member(message.From); sender != nil {
		s.observeGeneration(message.Generation, sender.Host().ControlAddress)
	}
	return outdated
}

// mergeUpdate applies one update of the message. Updates of a bulk transfer are not gossiped further.
func (s *State) mergeUpdate(update wire.Update, message wire.Exchange) membership.MergeResult {
	if len(message.Updates) > bulkTransferUpdates {
		return s.table.MergeWithoutGossip(update, s.now)
	}
	return s.table.Merge(update, message.From, s.now)
}

// markReachable records that a member answered. All members of its failure domain are then considered reachable again.
func (s *State) markReachable(id core.HostID) {
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
	s.markAllChanged()
}

// exchangeFailed marks the member as unreachable, which removes it from the views, and asks other nodes to probe it.
func (s *State) exchangeFailed(sent SendExchange) {
	delete(s.inFlight, sent.Peer)
	member := s.table.Member(sent.Peer)
	if member == nil || sent.SentAt < s.freshness.startedAt {
		return
	}
	s.unreachable[sent.Peer] = true
	s.markChanged(sent.Peer)
	if member.Record.StartEpoch == 0 || member.Verdict != wire.Alive || s.probes[sent.Peer] != nil {
		return
	}
	s.startProbe(member.Host())
}

// startProbe asks up to probeProxies nodes to probe the target, preferably all but one in the target's failure domain.
func (s *State) startProbe(target core.Host) {
	proxies := s.table.Pick(s.random, probeProxies-1, func(member *membership.Member) bool {
		return member.ID() != target.ID && s.reachable(member) && member.Host().FailureDomain == target.FailureDomain
	})
	others := s.table.Pick(s.random, probeProxies-len(proxies), func(member *membership.Member) bool {
		return member.ID() != target.ID && s.reachable(member) && member.Host().FailureDomain != target.FailureDomain
	})
	proxies = append(proxies, others...)
	if len(proxies) == 0 {
		return
	}
	s.probes[target.ID] = &indirectProbe{pending: len(proxies), deadline: s.now + probeTimeout}
	for _, proxy := range proxies {
		s.perform(RequestProbe{Proxy: proxy, Target: target})
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
		if s.now >= probe.deadline {
			s.concludeProbe(id)
		}
	}
}

// concludeProbe marks the member as suspect if at least one other node answered and none could reach the member. If no
// other node answered, this node may itself be partitioned, so the member is not suspected.
func (s *State) concludeProbe(id core.HostID) {
	answered := s.probes[id].answered
	delete(s.probes, id)
	if answered && s.table.RaiseVerdict(id, wire.Suspect, s.now) {
		s.markAllChanged()
		s.scheduleEarlyExchange()
	}
}
