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
	watchedRole core.Role // the role whose nodes the views show
	seeds       []string  // control addresses of the peers to contact first
	random      *rand.Rand
	now         time.Duration
	table       *membership.Table
	snapshot    *config.Snapshot

	freshness   freshnessCheck
	head        headSchedule
	fetch       pendingFetch
	exchange    exchangeSchedule
	hostListDue time.Duration

	unreachable map[core.HostID]bool // members that did not answer this node's last exchange
	inFlight    map[core.HostID]bool // members with an exchange in flight
	probes      map[core.HostID]*indirectProbe

	effects        []reduce.Effect
	viewChanged    bool
	membersChanged bool
	members        memberMaps
}

// StateConfig holds the parameters of a new State.
type StateConfig struct {
	Self        wire.Record
	WatchedRole core.Role // the role whose nodes the views show
	Seeds       []string  // control addresses of the peers to contact first
	RandomSeed  uint64    // seed of the random number generator
}

// NewState returns the state of a starting process.
func NewState(start StateConfig) *State {
	s := &State{
		watchedRole: start.WatchedRole,
		seeds:       start.Seeds,
		random:      rand.New(rand.NewPCG(start.RandomSeed, start.RandomSeed)),
		table:       membership.NewTable(start.Self),
		unreachable: make(map[core.HostID]bool),
		inFlight:    make(map[core.HostID]bool),
		probes:      make(map[core.HostID]*indirectProbe),
	}
	s.freshness.begin(0)
	s.members.changed = make(map[core.HostID]bool)
	s.members.allChanged = true
	s.exchange.tablesDiffer = true
	s.exchange.tokens = earlyExchangeBurst
	if len(start.Seeds) > 0 {
		s.hostListDue = seedWait
		s.head.due = noConfigurationHeadInterval // a snapshot from a peer is compressed, so peers are tried before the platform
	}
	return s
}

// Step handles one event and returns the effects to perform.
func (s *State) Step(event reduce.Event) []reduce.Effect {
	s.effects = nil
	s.handle(event)
	if s.viewChanged || s.membersChanged && s.now >= s.members.viewDue {
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
	case HeadReadFailed:
		s.head.failures++
	case SnapshotFetched:
		s.snapshotFetched(event.Snapshot)
	case SnapshotFetchFailed:
		s.fetchFailed(event.Generation)
	case HostsListed:
		s.hostsListed(event.Hosts)
	case ExchangeReceived:
		s.exchangeReceived(event)
	case ExchangeAnswered:
		s.exchangeAnswered(event)
	case ExchangeFailed:
		s.exchangeFailed(event.Sent)
	case ProbeAnswered:
		s.probeAnswered(event)
	case GenerationSeen:
		s.observeGeneration(event.Generation, event.Address)
	case ConnectionFailed:
		s.checkHost(event.Host)
	case ModelVersionsChanged:
		s.versionsChanged(event.Versions)
	case DrainStarted:
		s.setPhase(wire.PhaseDraining)
	}
}

// tick advances the time and runs all periodic work that is due.
func (s *State) tick(now time.Duration) {
	if now-s.now > suspensionGap {
		s.resume(now)
	}
	s.now = now
	if s.table.ExpireSuspects(now) {
		s.markAllChanged()
	}
	s.expireProbes()
	s.pollHead()
	s.pollHostList()
	s.pollPeers()
}

func (s *State) perform(effect reduce.Effect) { s.effects = append(s.effects, effect) }

// versionsChanged updates the versions in this node's record. Only changes of a phase are gossiped.
func (s *State) versionsChanged(versions []wire.VersionStatus) {
	gossip := phasesDiffer(s.table.Self().Versions, versions)
	s.table.SetSelf(func(self *wire.Record) { self.Versions = versions }, gossip)
	s.viewChanged = true
	if gossip {
		s.scheduleEarlyExchange()
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
	s.scheduleEarlyExchange()
}
