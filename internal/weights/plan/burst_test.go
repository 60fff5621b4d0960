package plan

import (
	"testing"
	"time"
)

// The deployment that has to run a version within eight seconds: chunks of 48 KiB, links of 9.4 Mbit/s, an origin of 15.
const (
	burstHosts           = 27
	burstChunks          = 48
	burstChunkBytes      = 49152
	burstHostRate        = 9.4e6 / 8       // bytes a second
	burstOriginRate      = 15e6 / 8        // bytes a second
	burstRegionRate      = 26e6 / 8        // bytes a second
	maxBurstTime         = 4 * time.Second // half of the time for a version: engines need the rest to load in turns
	maxBurstOriginCopies = 1.05            // a chunk may be drawn twice when a gateway is slow to answer
)

func burstConfig(setup func(*network)) networkConfig {
	return networkConfig{
		hosts: burstHosts, chunks: burstChunks, chunkBytes: burstChunkBytes,
		hostRate: burstHostRate, originRate: burstOriginRate, crossRegionRate: burstRegionRate, seed: 5, tickInterval: 26 * time.Millisecond,
		limits: func(limits *Limits) { *limits = BurstLimits() },
		setup:  setup,
	}
}

// TestABurstLeavesTheOriginOnce brings a small version to all hosts at once.
func TestBurstFetchesOneCopyFromOrigin(t *testing.T) {
	n := newNetwork(burstConfig(func(n *network) {
		n.version.OriginGap = time.Duration(float64(burstChunkBytes) / burstOriginRate * float64(time.Second))
		n.versions["v"] = n.version
	}))
	if !n.run() {
		t.Fatal("not every host holds the version")
	}
	t.Logf("took %v, %.2f copies of the origin", n.now, n.originCopies())
	if n.now > maxBurstTime {
		t.Errorf("it took %v, at most %v may", n.now, maxBurstTime)
	}
	if copies := n.originCopies(); copies > maxBurstOriginCopies {
		t.Errorf("%.2f copies came from the origin", copies)
	}
}

// TestABurstPassesOverHostsThatAreGone silences hosts in the middle of it, of both regions.
func TestBurstBypassesStalledHosts(t *testing.T) {
	const maxTime = 8 * time.Second
	n := newNetwork(burstConfig(func(n *network) {
		for _, h := range n.hosts[:3] {
			h.stallsUploads = true
		}
	}))
	if !n.run() {
		t.Fatal("not every host holds the version")
	}
	t.Logf("took %v, %.2f copies of the origin", n.now, n.originCopies())
	if n.now > maxTime || n.originCopies() > maxFaultyOriginCopies {
		t.Errorf("it took %v and %.2f copies of the origin", n.now, n.originCopies())
	}
}
