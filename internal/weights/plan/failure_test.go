package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/weights"
)

const (
	smallHosts            = 40
	smallChunks           = 64
	maxFaultyOriginCopies = 3.0 // total copies from the origin that are allowed with faults
	smallChunkBytes       = 4 << 20
	smallHostRate         = 5 << 20 // bytes per second of a host's link
)

func testVersion(id core.VersionID, chunks int, chunkBytes int64) Version {
	manifest := weights.Manifest{SizeBytes: int64(chunks) * chunkBytes, ChunkBytes: chunkBytes}
	for i := range chunks {
		manifest.Chunks = append(manifest.Chunks, weights.Digest(fmt.Sprintf("%s-%d", id, i)))
	}
	return Version{ID: id, Manifest: manifest}
}

func smallConfig(setup func(*network)) networkConfig {
	return networkConfig{
		hosts: smallHosts, chunks: smallChunks, chunkBytes: smallChunkBytes,
		hostRate: smallHostRate, originRate: originRateFactor * smallHostRate, crossRegionRate: smallHostRate, seed: 3, setup: setup,
	}
}

func (n *network) hostsInRegion(region core.Region) []*fakeHost {
	var hosts []*fakeHost
	for _, h := range n.hosts {
		if h.peer.Region == region {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (n *network) hostsInDomain(domain core.FailureDomain) []*fakeHost {
	var hosts []*fakeHost
	for _, h := range n.hosts {
		if h.peer.FailureDomain == domain {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// topOriginFetchers returns the count best-ranked origin fetchers of the region.
func (n *network) topOriginFetchers(region core.Region, count int) []*fakeHost {
	var fetchers []*fakeHost
	observer := New(Peer{Host: "observer", Region: "elsewhere"}, DefaultLimits(), 0)
	var all []Peer
	for _, h := range n.hosts {
		all = append(all, h.peer)
	}
	observer.peersChanged(all)
	for _, g := range observer.rankPeers(versionHash(n.version.ID), region)[:count] {
		fetchers = append(fetchers, n.byID[g.peer.Host])
	}
	return fetchers
}

func (n *network) originCopies() float64 {
	total := 0.0
	for _, bytes := range n.originBytes {
		total += float64(bytes)
	}
	return total / float64(n.version.Manifest.SizeBytes)
}

func (n *network) completeCount(hosts []*fakeHost) int {
	count := 0
	for _, h := range hosts {
		if have := h.planner.ChunkMap(n.version.ID); have != nil && have.Count() == n.chunks {
			count++
		}
	}
	return count
}

// TestDistributionCompletesDespiteFaults injects faults and checks that every live host gets the version. The time is
// limited to a multiple of the lower bound, and the copies fetched from the origin are limited too.
func TestDistributionCompletesDespiteFaults(t *testing.T) {
	for _, test := range []struct {
		name        string
		setup       func(*network)
		maxSlowdown float64
		maxCopies   float64 // maximum copies
	}{
		{"none", func(*network) {}, 2, 2},
		{"peers send corrupted chunks", func(n *network) {
			for _, h := range n.hosts[:4] {
				h.corruptsUploads = true
			}
		}, 12, maxFaultyOriginCopies},
		{"an origin fetcher sends corrupted chunks", func(n *network) { n.topOriginFetchers("r0", 1)[0].corruptsUploads = true }, 12, maxFaultyOriginCopies},
		{"the origin sends corrupted chunks", func(n *network) { n.corruptOriginFetches = 10 }, 4, maxFaultyOriginCopies},
		{"peers announce chunks that they do not have", func(n *network) {
			for _, h := range n.hosts[:4] {
				h.announcesAll = true
			}
		}, 4, maxFaultyOriginCopies},
		{"links of peers stall", func(n *network) {
			for _, h := range n.hosts[:4] {
				h.stallsUploads = true
			}
		}, 14, maxFaultyOriginCopies},
		{"an origin fetcher's link stalls", func(n *network) { n.topOriginFetchers("r1", 1)[0].stallsUploads = true }, 14, maxFaultyOriginCopies},
		{"hosts are killed at every phase", func(n *network) { n.killedFraction = 0.25 }, 4, maxFaultyOriginCopies},
		{"every origin fetcher of a region is killed", func(n *network) {
			n.schedule(2*time.Second, func() {
				for _, h := range n.topOriginFetchers("r0", DefaultLimits().OriginFetchersPerRegion) {
					n.kill(h)
				}
			})
		}, 5, maxFaultyOriginCopies},
		{"origin fetchers cannot reach the origin", func(n *network) {
			for _, h := range n.topOriginFetchers("r0", 3) {
				h.originUnreachable = true
			}
		}, 12, maxFaultyOriginCopies},
		{"the region without the origin is cut off from it", func(n *network) {
			for _, h := range n.hostsInRegion("r1") {
				h.originUnreachable = true
			}
		}, 6, 1.3},
		{"a failure domain is cut off from all others", func(n *network) {
			for _, h := range n.hostsInDomain("d4") {
				h.unreachableRegions["r0"], h.unreachableRegions["r1"] = true, true
			}
		}, 3, 3 * maxRegionCopies}, // three isolated groups of hosts each need a copy
		{"the origin is unavailable for a while", func(n *network) {
			n.schedule(3*time.Second, func() { n.originDown = true })
			n.schedule(33*time.Second, func() { n.originDown = false })
		}, 8, maxFaultyOriginCopies},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newNetwork(smallConfig(test.setup))
			if !n.run() {
				t.Fatal("not every live host has the version")
			}
			if ratio := n.now.Seconds() / n.lowerBound().seconds(); ratio > test.maxSlowdown {
				t.Errorf("it took %.2f times the lower bound, want at most %.2f", ratio, test.maxSlowdown)
			}
			if copies := n.originCopies(); copies > test.maxCopies {
				t.Errorf("%.2f copies were fetched from the origin, want at most %.2f", copies, test.maxCopies)
			}
		})
	}
}

// TestRemoteRegionCompletesAfterOriginLoss stops the origin for good once the first region has every chunk. The second
// region must fetch the rest from the first.
func TestRemoteRegionCompletesAfterOriginLoss(t *testing.T) {
	config := smallConfig(nil)
	config.crossRegionRate = smallHostRate / 4
	n := newNetwork(config)
	n.stopOriginAfterFirstRegion()
	if !n.run() {
		t.Fatal("not every host has the version")
	}
	if copies := n.originCopies(); copies > 2 {
		t.Errorf("%.2f copies were fetched from the origin, want at most 2", copies)
	}
}

// stopOriginAfterFirstRegion stops the origin once every host of the first region has the version.
func (n *network) stopOriginAfterFirstRegion() {
	n.schedule(time.Second, func() {
		if n.completeCount(n.hostsInRegion("r0")) < len(n.hostsInRegion("r0")) {
			n.stopOriginAfterFirstRegion()
			return
		}
		n.originDown = true
	})
}

// TestIsolatedRegionRecoversAfterPartition partitions a region from the origin and from all hosts of the other region.
// The other region must complete during the partition, and the isolated one after it has healed.
func TestIsolatedRegionRecoversAfterPartition(t *testing.T) {
	n := newNetwork(smallConfig(nil))
	for _, h := range n.hostsInRegion("r1") {
		h.originUnreachable = true
		h.unreachableRegions["r0"] = true
	}
	healAt := 2 * time.Minute
	isolatedComplete := -1
	n.schedule(healAt, func() {
		isolatedComplete = n.completeCount(n.hostsInRegion("r1"))
		for _, h := range n.hostsInRegion("r1") {
			h.originUnreachable = false
			clear(h.unreachableRegions)
		}
		n.updatePeers()
	})
	if !n.run() {
		t.Fatal("not every host has the version")
	}
	if isolatedComplete != 0 {
		t.Errorf("%d isolated hosts have the version", isolatedComplete)
	}
	for _, h := range n.hostsInRegion("r0") {
		if h.completedAt == 0 || h.completedAt > healAt {
			t.Errorf("%s of the other region completed at %v, want before the partition healed", h.peer.Host, h.completedAt)
		}
	}
}

// TestVersionReplacedDuringDistribution replaces a version half way through its distribution by one that shares half of
// its chunks. No host may fetch a chunk twice.
func TestVersionReplacedDuringDistribution(t *testing.T) {
	n := newNetwork(smallConfig(nil))
	next := testVersion("w", smallChunks, smallChunkBytes)
	copy(next.Manifest.Chunks[:smallChunks/2], n.version.Manifest.Chunks)
	n.versions[next.ID] = next
	n.schedule(time.Duration(n.lowerBound().seconds()/2*float64(time.Second)), func() {
		n.version = next
		for _, h := range n.hosts {
			wanted := next
			wanted.Have = h.verifiedChunks(next)
			n.deliver(h, VersionsChanged{Timestamp: n.timestamp(), Versions: []Version{wanted}})
		}
	})
	if !n.run() {
		t.Fatal("not every host has the new version")
	}
	if copies := n.originCopies(); copies > 3 {
		t.Errorf("%.2f copies were fetched from the origin, want at most 3", copies)
	}
	for _, h := range n.hosts {
		for digest, count := range h.verifiedCounts {
			if count > 1 {
				t.Errorf("%s fetched %s %d times", h.peer.Host, digest, count)
			}
		}
	}
}

// verifiedChunks returns which chunks of the version the host has verified.
func (h *fakeHost) verifiedChunks(v Version) Bitmap {
	have := NewBitmap(len(v.Manifest.Chunks))
	for i, digest := range v.Manifest.Chunks {
		if h.verifiedCounts[digest] > 0 {
			have.Set(i)
		}
	}
	return have
}
