package plan

import (
	"testing"
	"time"
)

// A deployment that has to run a version within eight seconds. Chunks are 48 KiB, host links 9.4 Mbit/s, the origin link
// 15 Mbit/s and cross-region links 26 Mbit/s.
const (
	burstHosts           = 27
	burstChunks          = 48
	burstChunkBytes      = 49152
	burstHostRate        = 9.4e6 / 8       // bytes per second
	burstOriginRate      = 15e6 / 8        // bytes per second
	burstRegionRate      = 26e6 / 8        // bytes per second
	maxBurstTime         = 4 * time.Second // half of the eight seconds; engines need the rest to load in turns
	maxBurstOriginCopies = 1.05            // a chunk may be fetched twice if an origin fetcher responds slowly
)

func burstConfig(setup func(*network)) networkConfig {
	return networkConfig{
		hosts: burstHosts, chunks: burstChunks, chunkBytes: burstChunkBytes,
		hostRate: burstHostRate, originRate: burstOriginRate, crossRegionRate: burstRegionRate, seed: 5, tickInterval: 26 * time.Millisecond,
		limits: func(limits *Limits) { *limits = BurstLimits() },
		setup:  setup,
	}
}

// TestBurstFetchesOneCopyFromOrigin distributes a small version and checks the time and the copies fetched from the
// origin.
func TestBurstFetchesOneCopyFromOrigin(t *testing.T) {
	n := newNetwork(burstConfig(func(n *network) {
		n.version.OriginInterval = time.Duration(float64(burstChunkBytes) / burstOriginRate * float64(time.Second))
		n.versions["v"] = n.version
	}))
	if !n.run() {
		t.Fatal("not every host has the version")
	}
	t.Logf("took %v, %.2f copies from the origin", n.now, n.originCopies())
	if n.now > maxBurstTime {
		t.Errorf("it took %v, want at most %v", n.now, maxBurstTime)
	}
	if copies := n.originCopies(); copies > maxBurstOriginCopies {
		t.Errorf("%.2f copies were fetched from the origin, want about one", copies)
	}
}

// TestBurstBypassesStalledHosts distributes a small version while the uploads of three hosts stall.
func TestBurstBypassesStalledHosts(t *testing.T) {
	const maxTime = 8 * time.Second
	n := newNetwork(burstConfig(func(n *network) {
		for _, h := range n.hosts[:3] {
			h.stallsUploads = true
		}
	}))
	if !n.run() {
		t.Fatal("not every host has the version")
	}
	t.Logf("took %v, %.2f copies from the origin", n.now, n.originCopies())
	if n.now > maxTime || n.originCopies() > maxFaultyOriginCopies {
		t.Errorf("it took %v and %.2f copies from the origin", n.now, n.originCopies())
	}
}
