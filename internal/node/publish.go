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
	viewInterval            = 500 * time.Millisecond
	smallSystemViewInterval = 100 * time.Millisecond // in a small system
)

// memberMaps holds the members as the last view showed them, and the changes since.
type memberMaps struct {
	viewDue    time.Duration // earliest time of the next view that differs only in its members
	records    map[core.HostID]wire.Record
	hosts      map[core.HostID]core.Host
	changed    map[core.HostID]bool // members that may have changed since the last view
	allChanged bool                 // any member may have changed
}

// markChanged marks one member for update in the next view.
func (s *State) markChanged(id core.HostID) {
	s.membersChanged = true
	s.members.changed[id] = true
}

// markAllChanged marks all members for update in the next view.
func (s *State) markAllChanged() {
	s.membersChanged = true
	s.members.allChanged = true
}

// publish emits a new view.
func (s *State) publish() {
	if s.membersChanged {
		s.updateMaps()
	}
	s.membersChanged = false
	s.viewChanged = false
	s.perform(PublishView{View: &View{
		Snapshot: s.snapshot,
		Stale:    s.freshness.stale,
		Self:     s.table.Self(),
		Records:  s.members.records,
		Hosts:    s.members.hosts,
	}})
}

// updateMaps builds the maps of the next view. The maps of earlier views are not modified.
func (s *State) updateMaps() {
	s.members.viewDue = s.now + viewInterval
	if s.isSmall() {
		s.members.viewDue = s.now + smallSystemViewInterval
	}
	if s.members.allChanged {
		s.members.records = make(map[core.HostID]wire.Record)
		s.members.hosts = make(map[core.HostID]core.Host)
		for _, member := range s.table.Members() {
			s.updateMember(member)
		}
	} else {
		s.updateChanged()
	}
	s.members.allChanged = false
	clear(s.members.changed)
}

// updateChanged copies the maps and updates the changed members. The hosts map is copied only if a listing changed.
func (s *State) updateChanged() {
	s.members.records = maps.Clone(s.members.records)
	hostsCloned := false
	for id := range s.members.changed {
		member := s.table.Member(id)
		if s.members.hosts[id] != listedHost(member) && !hostsCloned {
			hostsCloned = true
			s.members.hosts = maps.Clone(s.members.hosts)
		}
		s.updateMember(member)
	}
}

// listedHost returns the host as the platform lists it, or an empty host if it is not listed.
func listedHost(member *membership.Member) core.Host {
	if member.ListedState == "" {
		return core.Host{}
	}
	host := member.ListedHost
	host.State = member.ListedState
	return host
}

// updateMember updates one member in the maps. It writes to the hosts map only if the listing changed, because
// otherwise that map may belong to an earlier view.
func (s *State) updateMember(member *membership.Member) {
	id := member.ID()
	if host := listedHost(member); host != s.members.hosts[id] {
		delete(s.members.hosts, id)
		if host.ID != "" {
			s.members.hosts[id] = host
		}
	}
	delete(s.members.records, id)
	if id != s.table.Self().Host.ID && s.reachable(member) && member.Record.Host.Role == s.watchedRole {
		s.members.records[id] = member.Record
	}
}
