package node

import "testing"

// Such a host is tried again and again, since it may run. In a large fleet, that is more often than tables are compared.
func TestHostThatNeverStartedDoesNotPutOffComparisonsWithOthers(t *testing.T) {
	f := newFleet(t, 2, 4, 1)
	for _, node := range f.nodes {
		f.boot(node)
	}
	last := len(f.nodes) - 1
	f.introduce(f.nodes[:last])
	s, live, neverStarted := f.nodes[0].state, f.nodes[1].host, f.nodes[last].host
	s.Step(HostsListed{Hosts: f.hosts})
	s.exchange.syncDue = s.now
	s.startExchange(neverStarted)
	s.exchange.tablesDiffer = true
	s.effects = nil
	s.startExchange(live)
	if sent := s.effects[len(s.effects)-1].(SendExchange); sent.Peer != live.ID || sent.Message.Digest == nil {
		t.Errorf("the exchange with %s compares no tables, since one with a host that never started did", sent.Peer)
	}
}
