package plan

import (
	"testing"
	"time"
)

// The deployment that has to run a version within eight seconds: chunks of 48 KiB, links of 9.4 Mbit/s, an origin of 15.
const (
	burstHosts  = 27
	burstChunks = 48
	burstBytes  = 49152
	burstRate   = 9.4e6 / 8       // bytes a second
	burstOrigin = 15e6 / 8        // bytes a second
	burstRegion = 26e6 / 8        // bytes a second
	burstBound  = 4 * time.Second // half of the time for a version: engines need the rest to load in turns
	oneCopy     = 1.05            // a chunk may be drawn twice when a gateway is slow to answer
)

func burstShape(prepare func(*network)) shape {
	return shape{
		hosts: burstHosts, chunks: burstChunks, chunkBytes: burstBytes,
		hostRate: burstRate, originRate: burstOrigin, regionRate: burstRegion, seed: 5, tickEvery: 26 * time.Millisecond,
		limits:  func(limits *Limits) { *limits = BurstLimits() },
		prepare: prepare,
	}
}

// TestABurstLeavesTheOriginOnce brings a small version to all hosts at once.
func TestABurstLeavesTheOriginOnce(t *testing.T) {
	n := newNetwork(burstShape(func(n *network) {
		n.version.OriginGap = time.Duration(float64(burstBytes) / burstOrigin * float64(time.Second))
		n.versions["v"] = n.version
	}))
	if !n.run() {
		t.Fatal("not every host holds the version")
	}
	t.Logf("took %v, %.2f copies of the origin", n.now, n.originDrawn())
	if n.now > burstBound {
		t.Errorf("it took %v, at most %v may", n.now, burstBound)
	}
	if drawn := n.originDrawn(); drawn > oneCopy {
		t.Errorf("%.2f copies came from the origin", drawn)
	}
}

// TestABurstPassesOverHostsThatAreGone silences hosts in the middle of it, of both regions.
func TestABurstPassesOverHostsThatAreGone(t *testing.T) {
	const versionBound = 8 * time.Second
	n := newNetwork(burstShape(func(n *network) {
		for _, h := range n.hosts[:3] {
			h.silent = true
		}
	}))
	if !n.run() {
		t.Fatal("not every host holds the version")
	}
	t.Logf("took %v, %.2f copies of the origin", n.now, n.originDrawn())
	if n.now > versionBound || n.originDrawn() > faultyOrigin {
		t.Errorf("it took %v and %.2f copies of the origin", n.now, n.originDrawn())
	}
}
