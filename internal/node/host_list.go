package node

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	hostListInterval = 2 * time.Second // average time between reads of the host list, over all nodes together
	seedWait         = 2 * time.Second // time that a starting node waits for its seeds before it reads the host list
)

// pollHostList reads the platform's host list if a read is due.
func (s *State) pollHostList() {
	if s.now < s.hostListDue {
		return
	}
	first := s.hostListDue <= seedWait
	s.hostListDue = s.now + s.nextHostListDelay(first)
	if first && s.isListed() {
		return // the host list has already arrived through the seeds
	}
	s.perform(ListHosts{})
}

// isListed reports whether the platform is known to list this node's host.
func (s *State) isListed() bool { return s.table.Member(s.table.Self().Host.ID).ListedState != "" }

// nextHostListDelay returns a random time until this node's next read of the host list, such that all nodes together
// read it about once per hostListInterval. A node whose host is not listed yet reads it every hostListInterval.
func (s *State) nextHostListDelay(first bool) time.Duration {
	if !s.isListed() {
		return hostListInterval
	}
	live := 0
	for _, member := range s.table.Members() {
		if s.reachable(member) {
			live++
		}
	}
	factor := 0.5 + s.random.Float64()
	if first { // spreads the reads of nodes that start at the same time
		factor = s.random.Float64()
	}
	return time.Duration(factor * float64(hostListInterval) * float64(max(1, live)))
}

// hostsListed applies the platform's host list. An empty list is ignored, because it is taken for a platform outage.
func (s *State) hostsListed(hosts []core.Host) {
	hasPeers := s.reachablePeers() > 0 // without peers, there is nobody to gossip the changes to
	if len(hosts) > 0 && s.table.ApplyHostList(hosts, hasPeers) {
		s.markAllChanged()
		s.scheduleEarlyExchange()
	}
}
