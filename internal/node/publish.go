package node

import (
	"maps"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/membership"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// The least time between two views that differ in members alone. Each copies the records.
const (
	viewInterval      = 500 * time.Millisecond
	smallViewInterval = 100 * time.Millisecond // in a small system
)

// shown is what the last view showed of the members.
type shown struct {
	due     time.Duration // of the next view that differs in members alone
	records map[core.HostID]wire.Record
	hosts   map[core.HostID]core.Host
	changed map[core.HostID]bool // members since the last view
	all     bool                 // any member may have changed
}

// changed marks one member for the next view.
func (s *State) changed(id core.HostID) {
	s.membersChanged = true
	s.shown.changed[id] = true
}

// changedAny marks all members for the next view.
func (s *State) changedAny() {
	s.membersChanged = true
	s.shown.all = true
}

func (s *State) publish() {
	if s.membersChanged {
		s.collect()
	}
	s.membersChanged = false
	s.viewChanged = false
	s.perform(PublishView{View: &View{
		Snapshot: s.snapshot,
		Stale:    s.look.stale,
		Self:     s.table.Self(),
		Records:  s.shown.records,
		Hosts:    s.shown.hosts,
	}})
}

// collect brings the maps up to date. Those of earlier views stay as they are.
func (s *State) collect() {
	s.shown.due = s.now + viewInterval
	if s.small() {
		s.shown.due = s.now + smallViewInterval
	}
	if s.shown.all {
		s.shown.records = make(map[core.HostID]wire.Record)
		s.shown.hosts = make(map[core.HostID]core.Host)
		for _, member := range s.table.Members() {
			s.show(member)
		}
	} else {
		s.collectChanged()
	}
	s.shown.all = false
	clear(s.shown.changed)
}

func (s *State) collectChanged() {
	s.shown.records = maps.Clone(s.shown.records)
	relisted := false
	for id := range s.shown.changed {
		member := s.table.Member(id)
		if s.shown.hosts[id] != listed(member) && !relisted {
			relisted = true
			s.shown.hosts = maps.Clone(s.shown.hosts)
		}
		s.show(member)
	}
}

// listed returns the host as the platform lists it, or an empty one.
func listed(member *membership.Member) core.Host {
	if member.Listing == "" {
		return core.Host{}
	}
	host := member.ListedAt
	host.State = member.Listing
	return host
}

// show brings one member up to date in the maps. The map of hosts is written only where it differs.
func (s *State) show(member *membership.Member) {
	id := member.ID()
	if host := listed(member); host != s.shown.hosts[id] {
		delete(s.shown.hosts, id)
		if host.ID != "" {
			s.shown.hosts[id] = host
		}
	}
	delete(s.shown.records, id)
	if id != s.table.Self().Host.ID && s.reachable(member) && member.Record.Host.Role == s.watch {
		s.shown.records[id] = member.Record
	}
}
