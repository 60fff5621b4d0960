package node

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/membership"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	delegatesPerDomain          = 3                       // nodes per failure domain that read the head often
	delegateHeadInterval        = 1500 * time.Millisecond // between reads of the head by a delegate
	headRetryDelay              = 500 * time.Millisecond  // until the head is read after a fetch failed
	headInterval                = 20 * time.Second        // between reads of the head by other nodes
	noConfigurationHeadInterval = time.Second             // between reads of the head by nodes without a configuration
	maxDelegateBackoff          = 4 * time.Second         // of delegates and of nodes without a configuration
	maxHeadBackoff              = time.Minute             // of other nodes
	maxHeadFailures             = 6                       // consecutive failures after which the interval stops doubling
	fetchTimeout                = 3 * time.Second
	announcePeers               = 4               // peers with which a node exchanges as soon as it has a new generation
	suspensionGap               = 3 * time.Second // a longer gap between ticks means that the process was suspended
	freshnessPeers              = 2               // peers that must confirm the generation if the platform cannot be read
	stalePeerWait               = 5 * time.Second // until confirmations by peers that are themselves stale are accepted
)

// freshnessCheck is the check that the node's configuration is current. After a start or a suspension, the node
// compares its generation with the platform, or with peers that have done so, before it makes any decision with it.
type freshnessCheck struct {
	stale       bool                 // the check has not succeeded yet
	startedAt   time.Duration        // when the check began
	confirmedBy map[core.HostID]bool // peers that knew of no newer generation
	highestSeen core.Generation      // highest generation seen anywhere
}

func (l *freshnessCheck) begin(now time.Duration) {
	l.stale = true
	l.startedAt = now
	l.confirmedBy = make(map[core.HostID]bool)
}

// headSchedule is the schedule of reads of the configuration head.
type headSchedule struct {
	due              time.Duration
	failures         int           // consecutive
	delegate         bool          // this node is a delegate of its failure domain
	delegateCheckDue time.Duration // of the next delegate check
	inFlight         bool          // a read is in flight
	startedAt        time.Duration
}

// pendingFetch is the generation that is being fetched, and the time after which the fetch counts as failed.
type pendingFetch struct {
	generation core.Generation
	deadline   time.Duration
}

// resume restarts the check of the configuration after the process was suspended.
func (s *State) resume(now time.Duration) {
	s.now = now
	s.freshness.begin(now)
	s.viewChanged = true
	s.head.due = now
	s.head.failures = 0
	s.head.inFlight = false
	clear(s.inFlight)
	s.exchangeWithPeers(announcePeers)
}

// pollHead reads the configuration head if a read is due.
func (s *State) pollHead() {
	if s.now >= s.head.delegateCheckDue {
		s.head.delegateCheckDue = s.now + time.Second
		s.checkDelegate()
	}
	if s.now < s.head.due || s.head.inFlight && s.now < s.head.startedAt+platformTimeout {
		return
	}
	s.head.due = s.now + s.nextHeadDelay()
	s.head.inFlight = true
	s.head.startedAt = s.now
	s.perform(ReadHead{StartedAt: s.now})
}

// checkDelegate updates whether this node is a delegate. A new delegate brings its next read of the head forward.
func (s *State) checkDelegate() {
	before := s.head.delegate
	s.head.delegate = s.table.IsDelegate(delegatesPerDomain, func(id core.HostID) bool { return !s.unreachable[id] })
	if s.head.delegate && !before {
		s.head.due = min(s.head.due, s.now+s.nextHeadDelay())
	}
}

// nextHeadDelay returns the time until the next read of the head, with up to 25 % of jitter. It doubles with each
// failed read, up to a limit.
func (s *State) nextHeadDelay() time.Duration {
	wait, limit := headInterval, maxHeadBackoff
	switch {
	case s.head.delegate:
		wait, limit = delegateHeadInterval, maxDelegateBackoff
	case s.snapshot == nil:
		wait, limit = noConfigurationHeadInterval, maxDelegateBackoff
	}
	wait = min(wait<<min(s.head.failures, maxHeadFailures), limit)
	return wait - time.Duration(s.random.Int64N(int64(wait/4)))
}

// headRead fetches the generation of the head if it is newer. Otherwise the node's configuration is current as of the
// start of the read.
func (s *State) headRead(event HeadRead) {
	s.head.failures = 0
	s.head.inFlight = false
	s.freshness.highestSeen = max(s.freshness.highestSeen, event.Head.Generation)
	if event.Head.Generation > s.generation() {
		s.startFetch(FetchSnapshot{Head: event.Head})
		return
	}
	if event.StartedAt >= s.freshness.startedAt {
		s.completeFreshnessCheck()
	}
}

// observeGeneration records a generation that another node holds, and fetches it from that node if it is newer. Without
// an address, it reads the head from the platform at once.
func (s *State) observeGeneration(generation core.Generation, address string) {
	s.freshness.highestSeen = max(s.freshness.highestSeen, generation)
	switch {
	case generation <= s.generation():
	case address == "":
		s.head.due = s.now
	default:
		s.startFetch(FetchSnapshot{Address: address, Head: config.Head{Generation: generation}})
	}
}

// startFetch fetches a configuration unless a fetch of the same or a later generation is in flight.
func (s *State) startFetch(effect FetchSnapshot) {
	if s.fetch.generation >= effect.Head.Generation && s.now < s.fetch.deadline {
		return
	}
	s.fetch = pendingFetch{generation: effect.Head.Generation, deadline: s.now + fetchTimeout}
	s.perform(effect)
}

// fetchFailed schedules an early read of the head. A later message from a peer may name another source.
func (s *State) fetchFailed(generation core.Generation) {
	if s.fetch.generation == generation {
		s.fetch = pendingFetch{}
	}
	if generation > s.generation() {
		s.head.due = min(s.head.due, s.now+headRetryDelay)
	}
}

// snapshotFetched puts the snapshot in force if its generation is higher. A configuration in force never reverts to an
// earlier generation.
func (s *State) snapshotFetched(snapshot *config.Snapshot) {
	if snapshot.Generation <= s.generation() {
		return
	}
	first := s.snapshot == nil
	s.snapshot = snapshot
	s.table.SetSelf(func(self *wire.Record) { self.Generation = snapshot.Generation }, false)
	s.viewChanged = true
	s.fetch = pendingFetch{}
	if snapshot.Generation >= s.freshness.highestSeen && !first {
		s.completeFreshnessCheck()
	}
	if first {
		s.freshness.confirmedBy = make(map[core.HostID]bool)
		s.head.due = s.now
	}
	s.exchangeWithPeers(announcePeers)
}

// generation returns the generation of the configuration in force, or 0 if there is none.
func (s *State) generation() core.Generation {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Generation
}

// recordConfirmation records that a peer knows of no newer generation. Only exchanges sent since the check began count.
// Answers from stale peers count once stalePeerWait has passed.
func (s *State) recordConfirmation(event ExchangeAnswered) {
	if !s.freshness.stale || s.snapshot == nil || event.Sent.SentAt < s.freshness.startedAt || event.Message.Generation > s.generation() {
		return
	}
	if event.Message.Stale && s.now < s.freshness.startedAt+stalePeerWait {
		return
	}
	s.freshness.confirmedBy[event.Message.From] = true
	if len(s.freshness.confirmedBy) >= min(freshnessPeers, max(1, s.reachablePeers())) {
		s.completeFreshnessCheck()
	}
}

// reachablePeers returns the number of reachable peers, counting up to freshnessPeers.
func (s *State) reachablePeers() int {
	return len(s.table.Pick(s.random, freshnessPeers, s.reachable))
}

// reachable reports whether the member is believed to be running and is not marked as unreachable from this node.
func (s *State) reachable(member *membership.Member) bool {
	return member.Usable() && !s.unreachable[member.ID()]
}

// completeFreshnessCheck completes the check if no newer generation is known than the one in force. A starting process
// is then ready.
func (s *State) completeFreshnessCheck() {
	if s.snapshot == nil || s.freshness.highestSeen > s.snapshot.Generation || !s.freshness.stale {
		return
	}
	s.freshness.stale = false
	s.viewChanged = true
	if s.table.Self().Phase == wire.PhaseStarting {
		s.setPhase(wire.PhaseReady)
	}
}
