package node

import (
	"testing"
	"time"
)

// Hosts that start together may have exchanged with only some of the others, and know the rest from the host list alone.
func TestGroupsOfHostsThatStartedTogetherFindOneAnother(t *testing.T) {
	const entries, agents, inFirstGroup = 2, 4, 3
	for seed := range uint64(20) {
		f := newFleet(t, entries, agents, seed)
		for _, node := range f.nodes {
			f.boot(node)
		}
		f.introduce(f.nodes[:inFirstGroup])
		f.introduce(f.nodes[inFirstGroup:])
		for _, node := range f.nodes {
			f.step(node, HostsListed{Hosts: f.hosts})
		}
		const limit = 30 * time.Second // operators wait as long for a configuration to be in force
		for _, node := range f.nodes[:entries] {
			if !f.runUntil(limit, func() bool { return len(node.view.Records) == agents }) {
				t.Errorf("seed %d: %s knows %d of %d agents after %v", seed, node.host.ID, len(node.view.Records), agents, limit)
			}
		}
	}
}
