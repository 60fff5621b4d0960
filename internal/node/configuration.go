package node

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/membership"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	delegatesPerDomain   = 3
	delegateHeadInterval = 1500 * time.Millisecond
	headRetryDelay       = 500 * time.Millisecond // after a peer did not give a configuration
	headInterval         = 20 * time.Second       // of nodes that are no delegates
	emptyHeadInterval    = time.Second            // of nodes that hold no configuration
	maxDelegateBackoff   = 4 * time.Second
	maxHeadBackoff       = time.Minute
	maxHeadFailures      = 6 // failures after which the interval grows no more
	fetchTimeout         = 3 * time.Second
	newsPeers            = 4 // peers that a node tells of a new generation at once
	frozenGap            = 3 * time.Second
	lookPeers            = 2               // peers whose generation stands for the platform's
	lookPatience         = 5 * time.Second // until peers count that are themselves stale
)

// look is what a node does before it decides anything under the configuration that it holds: it compares it with the
// platform, or with peers that have done so.
type look struct {
	stale  bool
	since  time.Duration
	agreed map[core.HostID]bool // peers that knew nothing newer
	ahead  core.Generation      // the highest generation that was heard of
}

func (l *look) begin(now time.Duration) {
	l.stale = true
	l.since = now
	l.agreed = make(map[core.HostID]bool)
}

type headPolling struct {
	due       time.Duration
	failures  int
	delegate  bool
	checkDue  time.Duration
	underWay  bool
	startedAt time.Duration
}

type fetching struct {
	generation core.Generation
	until      time.Duration
}

// wake starts the look anew after the process stood still.
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

func (s *State) checkDelegate() {
	before := s.head.delegate
	s.head.delegate = s.table.Delegate(delegatesPerDomain, func(id core.HostID) bool { return !s.unreachable[id] })
	if s.head.delegate && !before {
		s.head.due = min(s.head.due, s.now+s.headWait())
	}
}

// headWait returns the time until the next read of the head. It doubles while the platform is away.
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

// hear takes note of a generation that another node holds, and fetches it from there if it is newer.
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

func (s *State) startFetch(effect FetchSnapshot) {
	if s.fetch.generation >= effect.Head.Generation && s.now < s.fetch.until {
		return
	}
	s.fetch = fetching{generation: effect.Head.Generation, until: s.now + fetchTimeout}
	s.perform(effect)
}

// fetchFailed turns to the platform at once; the next message from a peer names another source.
func (s *State) fetchFailed(generation core.Generation) {
	if s.fetch.generation == generation {
		s.fetch = fetching{}
	}
	if generation > s.generation() {
		s.head.due = min(s.head.due, s.now+headRetryDelay)
	}
}

// snapshotFetched takes only a higher generation, so that a configuration in force never reverts.
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

func (s *State) generation() core.Generation {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Generation
}

// compared takes note that a peer, asked since the look began, knows nothing newer.
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

func (s *State) reachablePeers() int {
	return len(s.table.Pick(s.random, lookPeers, s.reachable))
}

func (s *State) reachable(member *membership.Member) bool {
	return member.Usable() && !s.unreachable[member.ID()]
}

// looked ends the look once nothing newer is known than what is held.
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
