package node

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

func noChange(*config.Set) {}

// all returns a function that reports whether the condition holds for every running node.
func (f *fleet) all(condition func(*fleetNode) bool) func() bool {
	return func() bool {
		for _, node := range f.live() {
			if node.view == nil || !condition(node) {
				return false
			}
		}
		return true
	}
}

func (f *fleet) holdsHead(node *fleetNode) bool {
	return node.view.Self.Generation == f.head.Generation
}

// knowsAll reports whether the node's view shows exactly the running agents, each with its current incarnation.
func (f *fleet) knowsAll(node *fleetNode) bool {
	agents := 0
	for _, other := range f.live() {
		if other == node || other.host.Role != core.RoleAgent {
			continue
		}
		agents++
		record, ok := node.view.Records[other.host.ID]
		if !ok || record.Incarnation != other.state.table.Self().Incarnation || record.Phase != wire.PhaseReady {
			return false
		}
	}
	return len(node.view.Records) == agents
}

// waitForAll fails the test unless the condition holds for every running node within the limit of virtual time.
func (f *fleet) waitForAll(t testingTB, what string, limit time.Duration, condition func(*fleetNode) bool) {
	t.Helper()
	if !f.runUntil(limit, f.all(condition)) {
		t.Fatalf("not within %v of virtual time: %s", limit, what)
	}
}

func TestNodesDiscoverEachOtherFromHostList(t *testing.T) {
	f := newFleet(t, 10, 20, 1)
	for _, node := range f.nodes {
		f.boot(node)
	}
	f.waitForAll(t, "every node knows every agent", 10*time.Second, f.knowsAll)
}

func TestGenerationReachesDomainPartitionedFromPlatform(t *testing.T) {
	f := newFleet(t, 20, 40, 2)
	f.platformPartitioned["domain-b"] = true
	for _, node := range f.nodes[:3] {
		node.down = true
	}
	f.publish(noChange)
	f.waitForAll(t, "every live node holds the head", 4*time.Second, f.holdsHead)
}

func TestNodeStartsDuringPlatformOutage(t *testing.T) {
	f := newFleet(t, 5, 0, 3)
	for _, node := range f.nodes {
		f.platformPartitioned[node.host.FailureDomain] = true
		f.partitioned[node.host.FailureDomain] = true
	}
	node := f.nodes[0]
	f.boot(node)
	f.run(20 * time.Second)
	if node.view != nil && (!node.view.Stale || node.view.Snapshot != nil) {
		t.Fatal("a node without platform and peers is ready")
	}
	clear(f.partitioned)
	f.boot(node)
	node.state.seeds = []string{f.nodes[1].host.ControlAddress}
	f.waitForAll(t, "the node holds its peers' generation and is ready", 10*time.Second, func(node *fleetNode) bool {
		return f.holdsHead(node) && !node.view.Stale && node.view.Self.Phase == wire.PhaseReady
	})
}

func TestResumedNodeIsStaleUntilConfirmed(t *testing.T) {
	f := newFleet(t, 5, 0, 4)
	f.run(2 * time.Second)
	node := f.nodes[0]
	node.frozen = true
	f.run(time.Minute)
	f.publish(noChange)
	f.platformPartitioned[node.host.FailureDomain] = true
	f.partitioned[node.host.FailureDomain] = true
	node.frozen = false
	f.run(20 * time.Second)
	if !node.view.Stale {
		t.Fatal("the resumed node is not stale although it has not confirmed its configuration")
	}
	clear(f.partitioned)
	f.waitForAll(t, "the resumed node is no longer stale", 10*time.Second, func(node *fleetNode) bool {
		return f.holdsHead(node) && !node.view.Stale
	})
}

func TestDeadHostLeavesViewsAndItsReplacementEnters(t *testing.T) {
	f := newFleet(t, 10, 20, 5)
	f.run(2 * time.Second)
	lost := f.nodes[12]
	lost.down = true
	f.waitForAll(t, "no view shows the dead agent", 30*time.Second, f.knowsAll)
	f.boot(lost)
	f.waitForAll(t, "every view shows its replacement", 10*time.Second, f.knowsAll)
}

func TestLeavingHostIsKnownToAll(t *testing.T) {
	f := newFleet(t, 10, 20, 7)
	f.run(2 * time.Second)
	leaving, removed := 15, 16
	f.hosts[leaving].State = core.HostLeaving
	f.nodes[removed].down = true
	f.hosts = slices.Delete(slices.Clone(f.hosts), removed, removed+1)
	f.waitForAll(t, "every view shows the host as leaving and no longer shows the removed one", 10*time.Second, func(node *fleetNode) bool {
		_, listed := node.view.Hosts[f.nodes[removed].host.ID]
		_, shown := node.view.Records[f.nodes[removed].host.ID]
		return !listed && !shown && node.view.Hosts[f.nodes[leaving].host.ID].State == core.HostLeaving
	})
}

func TestNewerGenerationIsFetchedFromItsHolder(t *testing.T) {
	for _, test := range []struct {
		name       string
		generation core.Generation
		fetches    bool
	}{{"older", 1, false}, {"newer", 9, true}} {
		f := newFleet(t, 2, 2, 8)
		f.run(time.Second)
		f.publish(noChange)
		var source string
		for _, effect := range f.nodes[0].state.Step(GenerationSeen{Generation: test.generation, Address: "10.0.0.9:7002"}) {
			if fetch, ok := effect.(FetchSnapshot); ok {
				source = fetch.Address
			}
		}
		if (source == "10.0.0.9:7002") != test.fetches {
			t.Errorf("a generation that is %s: fetched from %q", test.name, source)
		}
	}
}

func TestPartitionedDomainsRecover(t *testing.T) {
	f := newFleet(t, 10, 20, 6)
	f.partitioned["domain-c"] = true
	f.run(time.Minute)
	f.partitioned["domain-c"] = false
	f.waitForAll(t, "every view shows every agent", 30*time.Second, f.knowsAll)
}

// TestFaultsNeverRevertGeneration kills, suspends and partitions nodes at random. The simulation fails the test if a
// node's generation decreases. After the faults end, all nodes must agree again.
func TestFaultsNeverRevertGeneration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 5, 10, rapid.Uint64().Draw(t, "seed"))
		f.loss = 0.05
		f.maxPlatformDelay = 3 * time.Second
		for range 12 {
			f.injectFault(t)
			f.run(time.Duration(rapid.IntRange(1, 8000).Draw(t, "pause in ms")) * time.Millisecond)
		}
		f.clearFaults()
		f.waitForAll(t, "every node holds the head and knows every agent", 90*time.Second, func(node *fleetNode) bool {
			return f.holdsHead(node) && !node.view.Stale && f.knowsAll(node)
		})
	})
}

// injectFault injects a random fault, ends one, or publishes a configuration.
func (f *fleet) injectFault(t *rapid.T) {
	node := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
	domain := node.host.FailureDomain
	switch rapid.SampledFrom([]string{"kill", "boot", "freeze", "wake", "cut", "mend", "outage", "publish"}).Draw(t, "fault") {
	case "kill":
		node.down = true
	case "boot":
		f.boot(node)
	case "freeze":
		node.frozen = true
	case "wake":
		node.frozen = false
	case "cut":
		f.partitioned[domain] = true
	case "mend":
		f.partitioned[domain] = false
	case "outage":
		f.platformPartitioned[domain] = !f.platformPartitioned[domain]
	case "publish":
		f.publish(noChange)
	}
}

// clearFaults ends all faults and restarts the nodes that are down.
func (f *fleet) clearFaults() {
	clear(f.partitioned)
	clear(f.platformPartitioned)
	f.loss = 0
	f.maxPlatformDelay = 0
	for _, node := range f.nodes {
		node.frozen = false
		if node.down {
			f.boot(node)
		}
	}
}
