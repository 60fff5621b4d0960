package node

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// View is what a process knows at one moment. It is immutable.
type View struct {
	Snapshot *config.Snapshot // nil until a configuration is held
	Self     wire.Record
	Records  map[core.HostID]wire.Record // other nodes that answer
	Hosts    map[core.HostID]core.Host   // the platform's host list
}

const (
	headInterval   = time.Second
	hostsInterval  = 2 * time.Second
	statusInterval = 500 * time.Millisecond
	statusMisses   = 3 // unanswered reads until a node's record is dropped
)

// State is the reducer's state.
type State struct {
	self      wire.Record
	snapshot  *config.Snapshot
	hosts     map[core.HostID]core.Host
	records   map[core.HostID]wire.Record
	misses    map[core.HostID]int
	headDue   time.Duration
	hostsDue  time.Duration
	statusDue time.Duration
	watch     core.Role // the role whose nodes this process follows
}

// NewState returns the state of a process that starts as self and follows the nodes of the role.
func NewState(self wire.Record, watch core.Role) *State {
	return &State{
		self:    self,
		watch:   watch,
		hosts:   make(map[core.HostID]core.Host),
		records: make(map[core.HostID]wire.Record),
		misses:  make(map[core.HostID]int),
	}
}

// Step takes one event and returns what has to be done.
func (s *State) Step(event reduce.Event) []reduce.Effect {
	switch event := event.(type) {
	case Tick:
		return s.tick(event.Now)
	case HeadRead:
		return s.headRead(event.Head)
	case SnapshotFetched:
		return s.snapshotFetched(event.Snapshot)
	case HostsListed:
		return s.hostsListed(event.Hosts)
	case StatusRead:
		return s.statusRead(event.Record)
	case StatusFailed:
		return s.statusFailed(event.Host)
	case VersionsChanged:
		s.self.Versions = event.Versions
		return s.selfChanged()
	case DrainStarted:
		s.self.Phase = wire.PhaseDraining
		return s.selfChanged()
	}
	return nil
}

func (s *State) tick(now time.Duration) []reduce.Effect {
	var effects []reduce.Effect
	if now >= s.headDue {
		s.headDue = now + headInterval
		effects = append(effects, ReadHead{})
	}
	if now >= s.hostsDue {
		s.hostsDue = now + hostsInterval
		effects = append(effects, ListHosts{})
	}
	if now >= s.statusDue {
		s.statusDue = now + statusInterval
		effects = append(effects, s.readStatuses()...)
	}
	return effects
}

func (s *State) readStatuses() []reduce.Effect {
	var effects []reduce.Effect
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		host := s.hosts[id]
		if host.Role == s.watch && id != s.self.Host.ID {
			effects = append(effects, ReadStatus{Host: host})
		}
	}
	return effects
}

func (s *State) headRead(head config.Head) []reduce.Effect {
	if head.Generation <= s.generation() {
		return nil
	}
	return []reduce.Effect{FetchSnapshot{Head: head}}
}

// snapshotFetched takes only a higher generation, so that a configuration in force never reverts.
func (s *State) snapshotFetched(snapshot *config.Snapshot) []reduce.Effect {
	if snapshot.Generation <= s.generation() {
		return nil
	}
	s.snapshot = snapshot
	s.self.Generation = snapshot.Generation
	if s.self.Phase == wire.PhaseStarting {
		s.self.Phase = wire.PhaseReady
	}
	return s.selfChanged()
}

func (s *State) generation() core.Generation {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Generation
}

func (s *State) hostsListed(hosts []core.Host) []reduce.Effect {
	clear(s.hosts)
	for _, host := range hosts {
		s.hosts[host.ID] = host
	}
	for id := range s.records {
		if _, listed := s.hosts[id]; !listed {
			delete(s.records, id)
		}
	}
	return s.publish()
}

func (s *State) statusRead(record wire.Record) []reduce.Effect {
	id := record.Host.ID
	s.misses[id] = 0
	known, ok := s.records[id]
	if ok && known.Incarnation == record.Incarnation && known.Sequence >= record.Sequence {
		return nil
	}
	s.records[id] = record
	return s.publish()
}

func (s *State) statusFailed(id core.HostID) []reduce.Effect {
	s.misses[id]++
	if _, ok := s.records[id]; !ok || s.misses[id] < statusMisses {
		return nil
	}
	delete(s.records, id)
	return s.publish()
}

func (s *State) selfChanged() []reduce.Effect {
	s.self.Sequence++
	return s.publish()
}

func (s *State) publish() []reduce.Effect {
	view := &View{
		Snapshot: s.snapshot,
		Self:     s.self,
		Records:  maps.Clone(s.records),
		Hosts:    maps.Clone(s.hosts),
	}
	return []reduce.Effect{PublishView{View: view}}
}
