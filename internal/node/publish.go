package node

import (
	"maps"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/membership"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// The minimum time between two views that differ only in their members. Each such view copies the records.
const (
	viewInterval      = 500 * time.Millisecond
	smallViewInterval = 100 * time.Millisecond // in a small system
)

// shown holds the members as the last view showed them, and the changes since.
type shown struct {
	due     time.Duration // earliest time of the next view that differs only in its members
	records map[core.HostID]wire.Record
	hosts   map[core.HostID]core.Host
	changed map[core.HostID]bool // members that may have changed since the last view
	all     bool                 // any member may have changed
}

// changed marks one member for update in the next view.
func (s *State) changed(id core.HostID) {
	s.membersChanged = true
	s.shown.changed[id] = true
}

// changedAny marks all members for update in the next view.
func (s *State) changedAny() {
	s.membersChanged = true
	s.shown.all = true
}

// publish emits a new view.
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

// collect builds the maps of the next view. The maps of earlier views are not modified.
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

// collectChanged copies the maps and updates the changed members. The hosts map is copied only if a listing changed.
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

// listed returns the host as the platform lists it, or an empty host if it is not listed.
func listed(member *membership.Member) core.Host {
	if member.Listing == "" {
		return core.Host{}
	}
	host := member.ListedAt
	host.State = member.Listing
	return host
}

// show updates one member in the maps. It writes to the hosts map only if the listing changed, because otherwise that map
// may belong to an earlier view.
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
