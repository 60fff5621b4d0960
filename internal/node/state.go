package node

import (
	"math/rand/v2"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/membership"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// View is an immutable snapshot of a node's state.
type View struct {
	Snapshot *config.Snapshot // nil until a configuration is in force
	Stale    bool             // the snapshot has not been confirmed as current since the process started or resumed; no decision may use it
	Self     wire.Record
	Records  map[core.HostID]wire.Record // reachable nodes of the role that this process watches
	Hosts    map[core.HostID]core.Host   // the platform's host list
}

// State is the state of a node's reducer. It is not safe for concurrent use.
type State struct {
	watch    core.Role // the role whose nodes the views show
	seeds    []string  // control addresses of the peers to contact first
	random   *rand.Rand
	now      time.Duration
	table    *membership.Table
	snapshot *config.Snapshot

	look     look
	head     headPolling
	fetch    fetching
	exchange exchanging
	hostsDue time.Duration

	unreachable map[core.HostID]bool // members that did not answer this node's last exchange
	contacting  map[core.HostID]bool // members with an exchange in flight
	probes      map[core.HostID]*probe

	effects        []reduce.Effect
	viewChanged    bool
	membersChanged bool
	shown          shown
}

// Start holds the parameters of a new State.
type Start struct {
	Self  wire.Record
	Watch core.Role // the role whose nodes the views show
	Seeds []string  // control addresses of the peers to contact first
	Seed  uint64    // seed of the random number generator
}

// NewState returns the state of a starting process.
func NewState(start Start) *State {
	s := &State{
		watch:       start.Watch,
		seeds:       start.Seeds,
		random:      rand.New(rand.NewPCG(start.Seed, start.Seed)),
		table:       membership.NewTable(start.Self),
		unreachable: make(map[core.HostID]bool),
		contacting:  make(map[core.HostID]bool),
		probes:      make(map[core.HostID]*probe),
	}
	s.look.begin(0)
	s.shown.changed = make(map[core.HostID]bool)
	s.shown.all = true
	s.exchange.differs = true
	s.exchange.tokens = hurryBurst
	if len(start.Seeds) > 0 {
		s.hostsDue = seedPatience
		s.head.due = emptyHeadInterval // a snapshot from a peer is compressed, so peers are tried before the platform
	}
	return s
}

// Step handles one event and returns the effects to perform.
func (s *State) Step(event reduce.Event) []reduce.Effect {
	s.effects = nil
	s.handle(event)
	if s.viewChanged || s.membersChanged && s.now >= s.shown.due {
		s.publish()
	}
	return s.effects
}

func (s *State) handle(event reduce.Event) {
	switch event := event.(type) {
	case Tick:
		s.tick(event.Now)
	case HeadRead:
		s.headRead(event)
	case HeadFailed:
		s.head.failures++
	case SnapshotFetched:
		s.snapshotFetched(event.Snapshot)
	case FetchFailed:
		s.fetchFailed(event.Generation)
	case HostsListed:
		s.hostsListed(event.Hosts)
	case ExchangeAsked:
		s.exchangeAsked(event)
	case ExchangeAnswered:
		s.exchangeAnswered(event)
	case ExchangeFailed:
		s.exchangeFailed(event.Sent)
	case ProbeAnswered:
		s.probeAnswered(event)
	case GenerationHeard:
		s.hear(event.Generation, event.Address)
	case ContactFailed:
		s.contact(event.Host)
	case VersionsChanged:
		s.versionsChanged(event.Versions)
	case DrainStarted:
		s.setPhase(wire.PhaseDraining)
	}
}

// tick advances the time and runs all periodic work that is due.
func (s *State) tick(now time.Duration) {
	if now-s.now > frozenGap {
		s.wake(now)
	}
	s.now = now
	if s.table.Expire(now) {
		s.changedAny()
	}
	s.expireProbes()
	s.pollHead()
	s.pollHosts()
	s.pollPeers()
}

func (s *State) perform(effect reduce.Effect) { s.effects = append(s.effects, effect) }

// versionsChanged updates the versions in this node's record. Only changes of a phase are gossiped.
func (s *State) versionsChanged(versions []wire.VersionStatus) {
	tell := phasesDiffer(s.table.Self().Versions, versions)
	s.table.SetSelf(func(self *wire.Record) { self.Versions = versions }, tell)
	s.viewChanged = true
	if tell {
		s.hurry()
	}
}

// phasesDiffer reports whether a version was added or removed or changed its phase. Progress in chunks alone is not
// gossiped.
func phasesDiffer(before, after []wire.VersionStatus) bool {
	if len(before) != len(after) {
		return true
	}
	for i := range before {
		if before[i].Version != after[i].Version || before[i].Phase != after[i].Phase {
			return true
		}
	}
	return false
}

func (s *State) setPhase(phase wire.Phase) {
	s.table.SetSelf(func(self *wire.Record) { self.Phase = phase }, true)
	s.viewChanged = true
	s.hurry()
}
