package node

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/membership"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	delegatesPerDomain   = 3                       // nodes per failure domain that read the head often
	delegateHeadInterval = 1500 * time.Millisecond // between reads of the head by a delegate
	headRetryDelay       = 500 * time.Millisecond  // until the head is read after a fetch failed
	headInterval         = 20 * time.Second        // between reads of the head by other nodes
	emptyHeadInterval    = time.Second             // between reads of the head by nodes without a configuration
	maxDelegateBackoff   = 4 * time.Second         // of delegates and of nodes without a configuration
	maxHeadBackoff       = time.Minute             // of other nodes
	maxHeadFailures      = 6                       // consecutive failures after which the interval stops doubling
	fetchTimeout         = 3 * time.Second
	newsPeers            = 4               // peers with which a node exchanges as soon as it has a new generation
	frozenGap            = 3 * time.Second // a longer gap between ticks means that the process was suspended
	lookPeers            = 2               // peers that must confirm the generation if the platform cannot be read
	lookPatience         = 5 * time.Second // until confirmations by peers that are themselves stale are accepted
)

// look is the check that the node's configuration is current. After a start or a suspension, the node compares its
// generation with the platform, or with peers that have done so, before it makes any decision with it.
type look struct {
	stale  bool                 // the check has not succeeded yet
	since  time.Duration        // when the check began
	agreed map[core.HostID]bool // peers that knew of no newer generation
	ahead  core.Generation      // highest generation seen anywhere
}

func (l *look) begin(now time.Duration) {
	l.stale = true
	l.since = now
	l.agreed = make(map[core.HostID]bool)
}

// headPolling is the schedule of reads of the configuration head.
type headPolling struct {
	due       time.Duration
	failures  int           // consecutive
	delegate  bool          // this node is a delegate of its failure domain
	checkDue  time.Duration // of the next delegate check
	underWay  bool          // a read is in flight
	startedAt time.Duration
}

// fetching is the generation that is being fetched, and the time after which the fetch counts as failed.
type fetching struct {
	generation core.Generation
	until      time.Duration
}

// wake restarts the check of the configuration after the process was suspended.
func (s *State) wake(now time.Duration) {
	s.now = now
	s.look.begin(now)
	s.viewChanged = true
	s.head.due = now
	s.head.failures = 0
	s.head.underWay = false
	clear(s.contacting)
	s.tellPeers(newsPeers)
}

// pollHead reads the configuration head if a read is due.
func (s *State) pollHead() {
	if s.now >= s.head.checkDue {
		s.head.checkDue = s.now + time.Second
		s.checkDelegate()
	}
	if s.now < s.head.due || s.head.underWay && s.now < s.head.startedAt+platformTimeout {
		return
	}
	s.head.due = s.now + s.headWait()
	s.head.underWay = true
	s.head.startedAt = s.now
	s.perform(ReadHead{Asked: s.now})
}

// checkDelegate updates whether this node is a delegate. A new delegate brings its next read of the head forward.
func (s *State) checkDelegate() {
	before := s.head.delegate
	s.head.delegate = s.table.Delegate(delegatesPerDomain, func(id core.HostID) bool { return !s.unreachable[id] })
	if s.head.delegate && !before {
		s.head.due = min(s.head.due, s.now+s.headWait())
	}
}

// headWait returns the time until the next read of the head, with up to 25 % of jitter. It doubles with each failed
// read, up to a limit.
func (s *State) headWait() time.Duration {
	wait, limit := headInterval, maxHeadBackoff
	switch {
	case s.head.delegate:
		wait, limit = delegateHeadInterval, maxDelegateBackoff
	case s.snapshot == nil:
		wait, limit = emptyHeadInterval, maxDelegateBackoff
	}
	wait = min(wait<<min(s.head.failures, maxHeadFailures), limit)
	return wait - time.Duration(s.random.Int64N(int64(wait/4)))
}

// headRead fetches the generation of the head if it is newer. Otherwise the node's configuration is current as of the
// start of the read.
func (s *State) headRead(event HeadRead) {
	s.head.failures = 0
	s.head.underWay = false
	s.look.ahead = max(s.look.ahead, event.Head.Generation)
	if event.Head.Generation > s.generation() {
		s.startFetch(FetchSnapshot{Head: event.Head})
		return
	}
	if event.Asked >= s.look.since {
		s.looked()
	}
}

// hear records a generation that another node holds, and fetches it from that node if it is newer. Without an address,
// it reads the head from the platform at once.
func (s *State) hear(generation core.Generation, address string) {
	s.look.ahead = max(s.look.ahead, generation)
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
	if s.fetch.generation >= effect.Head.Generation && s.now < s.fetch.until {
		return
	}
	s.fetch = fetching{generation: effect.Head.Generation, until: s.now + fetchTimeout}
	s.perform(effect)
}

// fetchFailed schedules an early read of the head. A later message from a peer may name another source.
func (s *State) fetchFailed(generation core.Generation) {
	if s.fetch.generation == generation {
		s.fetch = fetching{}
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
	s.fetch = fetching{}
	if snapshot.Generation >= s.look.ahead && !first {
		s.looked()
	}
	if first {
		s.look.agreed = make(map[core.HostID]bool)
		s.head.due = s.now
	}
	s.tellPeers(newsPeers)
}

// generation returns the generation of the configuration in force, or 0 if there is none.
func (s *State) generation() core.Generation {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Generation
}

// compared records that a peer knows of no newer generation. Only exchanges sent since the check began count. Answers
// from stale peers count once lookPatience has passed.
func (s *State) compared(event ExchangeAnswered) {
	if !s.look.stale || s.snapshot == nil || event.Sent.Asked < s.look.since || event.Message.Generation > s.generation() {
		return
	}
	if event.Message.Stale && s.now < s.look.since+lookPatience {
		return
	}
	s.look.agreed[event.Message.From] = true
	if len(s.look.agreed) >= min(lookPeers, max(1, s.reachablePeers())) {
		s.looked()
	}
}

// reachablePeers returns the number of reachable peers, counting up to lookPeers.
func (s *State) reachablePeers() int {
	return len(s.table.Pick(s.random, lookPeers, s.reachable))
}

// reachable reports whether the member is believed to be running and is not marked as unreachable from this node.
func (s *State) reachable(member *membership.Member) bool {
	return member.Usable() && !s.unreachable[member.ID()]
}

// looked completes the check if no newer generation is known than the one in force. A starting process is then ready.
func (s *State) looked() {
	if s.snapshot == nil || s.look.ahead > s.snapshot.Generation || !s.look.stale {
		return
	}
	s.look.stale = false
	s.viewChanged = true
	if s.table.Self().Phase == wire.PhaseStarting {
		s.setPhase(wire.PhaseReady)
	}
}
