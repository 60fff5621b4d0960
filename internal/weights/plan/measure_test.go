package plan

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/sourcegraph/conc/iter"
)

// lowerBound holds lower bounds of the distribution time in seconds, by bottleneck.
type lowerBound struct{ origin, download, copies, region float64 }

func (n *network) lowerBound() lowerBound {
	size := float64(n.version.Manifest.SizeBytes)
	return lowerBound{
		origin:   size / n.originRate,
		download: size / n.hostRate,
		copies:   size * float64(len(n.hosts)) / (n.originRate + n.hostRate*float64(len(n.hosts))),
		region:   size / n.crossRegionRate,
	}
}

func (b lowerBound) seconds() float64 { return max(b.origin, b.download, b.copies, b.region) }

func (b lowerBound) bottleneck() string {
	switch b.seconds() {
	case b.origin:
		return "origin"
	case b.download:
		return "download"
	case b.copies:
		return "copies"
	}
	return "region"
}

// figures are the measurements of one run.
type figures struct {
	complete        bool
	seconds         float64
	ratio           float64
	bottleneck      string
	originTotal     float64 // copies of the version
	maxRegionOrigin float64 // copies of the version, largest of any region
	maxHostLink     float64 // copies of the version over a host's link in both directions, largest of any host
	maxControlRate  float64 // bytes per second, largest of any host
	crossRegion     float64 // copies of the version over the cross-region link, larger of the two directions
}

func measure(config networkConfig) figures {
	n := newNetwork(config)
	f := figures{complete: n.run()}
	size := float64(n.version.Manifest.SizeBytes)
	bound := n.lowerBound()
	f.seconds = n.now.Seconds()
	f.ratio = f.seconds / bound.seconds()
	f.bottleneck = bound.bottleneck()
	for _, bytes := range n.originBytes {
		f.originTotal += float64(bytes) / size
		f.maxRegionOrigin = max(f.maxRegionOrigin, float64(bytes)/size)
	}
	for _, l := range n.regionLinks {
		f.crossRegion = max(f.crossRegion, float64(l.carriedBytes)/size)
	}
	for _, h := range n.hosts {
		f.maxHostLink = max(f.maxHostLink, float64(h.uplink.carriedBytes+h.downlink.carriedBytes)/size)
		f.maxControlRate = max(f.maxControlRate, float64(h.controlBytes)/f.seconds)
	}
	return f
}

// The size of a version, the period in which it has to reach every host, and the rates and bounds that follow from it.
const (
	windowSeconds       = 300
	targetChunks        = 512
	targetChunkBytes    = 16 << 20
	windowRate          = float64(targetChunks*targetChunkBytes) / windowSeconds // bytes per second, one copy per window
	originRateFactor    = 4
	wideRegionFactor    = 2   // copies per window on a wide cross-region link
	narrowRegionFactor  = 0.5 // copies per window on a narrow cross-region link
	targetSeed          = 7
	killedShare         = 0.1
	corruptShare        = 0.001
	maxTimeRatio        = 1.5
	maxFaultyTimeRatio  = 2.5
	maxOriginCopies     = 4.0
	maxRegionCopies     = 1.3
	maxLinkCopies       = 2.2
	maxControlBytesPerS = 4096
	targetHosts         = 520
	comparedHosts       = 100
	figureFormat        = "%-34s %10.3f %-8s %s\n"
)

func targetConfig(hosts int, regionRateFactor float64) networkConfig {
	return networkConfig{
		hosts: hosts, chunks: targetChunks, chunkBytes: targetChunkBytes,
		hostRate: windowRate, originRate: originRateFactor * windowRate, crossRegionRate: regionRateFactor * windowRate, seed: targetSeed,
	}
}

func withFaults(config networkConfig) networkConfig {
	config.killedFraction, config.corruptedFraction = killedShare, corruptShare
	return config
}

// checkBounds prints the figures and checks them against their bounds. A maxRatio of 0 marks a baseline without bounds.
func checkBounds(t testing.TB, name string, f figures, maxRatio float64) {
	t.Helper()
	if maxRatio == 0 {
		printBaseline(name, f)
		return
	}
	if !f.complete {
		t.Errorf("%s: not every live host has the version after %v", name, simulationLimit)
	}
	for _, line := range []struct {
		figure       string
		value, bound float64
		unit         string
	}{
		{"time_ratio", f.ratio, maxRatio, "x"},
		{"origin_total", f.originTotal, maxOriginCopies, "copies"},
		{"origin_region", f.maxRegionOrigin, maxRegionCopies, "copies"},
		{"host_link", f.maxHostLink, maxLinkCopies, "copies"},
		{"control", f.maxControlRate, maxControlBytesPerS, "B/s"},
	} {
		printFigure(name+"."+line.figure, line.value, line.unit, fmt.Sprintf("<=%g", line.bound))
		if line.value > line.bound {
			t.Errorf("%s: %s is %.3f %s, the bound is %g", name, line.figure, line.value, line.unit, line.bound)
		}
	}
	printFigure(name+".time", f.seconds, "s", "bound_by_"+f.bottleneck)
	printFigure(name+".crossing", f.crossRegion, "copies", "-")
}

func printBaseline(name string, f figures) {
	status := "-"
	if !f.complete {
		status = "incomplete"
	}
	printFigure(name+".time_ratio", f.ratio, "x", status)
	printFigure(name+".origin_total", f.originTotal, "copies", "-")
	printFigure(name+".origin_region", f.maxRegionOrigin, "copies", "-")
	printFigure(name+".host_link", f.maxHostLink, "copies", "-")
}

func printFigure(name string, value float64, unit, bound string) {
	if os.Getenv("LOVAGE_BENCH") != "" {
		fmt.Printf(figureFormat, name, value, unit, bound)
	}
}

func TestDistributionMeetsBounds(t *testing.T) {
	for _, hosts := range []int{10, 16, 64, 200} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := measure(targetConfig(hosts, wideRegionFactor))
			checkBounds(t, fmt.Sprintf("hosts%d", hosts), f, maxTimeRatio)
			if f.maxRegionOrigin > 1 {
				t.Errorf("without faults a region fetched %.3f copies from the origin, want at most 1", f.maxRegionOrigin)
			}
		})
	}
	t.Run("faults", func(t *testing.T) {
		checkBounds(t, "hosts64_faults", measure(withFaults(targetConfig(64, wideRegionFactor))), maxFaultyTimeRatio)
	})
}

// BenchmarkDistribution checks the figures of the target size against their bounds and prints those of the baselines.
func BenchmarkDistribution(b *testing.B) {
	runs := []struct {
		name     string
		config   networkConfig
		maxRatio float64 // 0 for a baseline, which has no bounds
	}{
		{"hosts520", targetConfig(targetHosts, wideRegionFactor), maxTimeRatio},
		{"hosts520_narrow", targetConfig(targetHosts, narrowRegionFactor), maxTimeRatio},
		{"hosts520_faults", withFaults(targetConfig(targetHosts, wideRegionFactor)), maxFaultyTimeRatio},
		{"hosts520_narrow_faults", withFaults(targetConfig(targetHosts, narrowRegionFactor)), maxFaultyTimeRatio},
		{"baseline_origin", baselineConfig(newOriginOnlyBaseline), 0},
		{"baseline_tree", baselineConfig(newTreeBaseline), 0},
	}
	for range b.N {
		results := iter.Map(runs, func(run *struct {
			name     string
			config   networkConfig
			maxRatio float64
		},
		) figures {
			return measure(run.config)
		})
		for i, f := range results {
			checkBounds(b, runs[i].name, f, runs[i].maxRatio)
		}
	}
}

// BenchmarkAllHostsAsOriginFetchers compares a few origin fetchers per region with every host being one.
func BenchmarkAllHostsAsOriginFetchers(b *testing.B) {
	for range b.N {
		printBaseline("few_gateways_narrow", measure(targetConfig(comparedHosts, narrowRegionFactor)))
		printBaseline("all_hosts_gateways_narrow", measure(allOriginFetchersConfig(comparedHosts, narrowRegionFactor)))
	}
}

// BenchmarkDecision measures one step of a planner with 520 hosts while it fetches.
func BenchmarkDecision(b *testing.B) {
	n := newNetwork(targetConfig(targetHosts, wideRegionFactor))
	h := n.hosts[0]
	n.deliver(h, PeersChanged{Timestamp: n.timestamp(), Peers: n.livePeers(h)})
	n.deliver(h, VersionsChanged{Timestamp: n.timestamp(), Versions: []Version{n.version}})
	planner := h.planner.(*Planner)
	for i, other := range planner.neighbours {
		have := NewBitmap(targetChunks)
		for c := range targetChunks {
			if (c+i)%2 == 0 {
				have.Set(c)
			}
		}
		n.deliver(h, ChunkMapReceived{Timestamp: n.timestamp(), IsReply: true, Host: other.Host, Version: n.version.ID, Have: have})
	}
	now := time.Duration(0)
	for b.Loop() {
		now += time.Microsecond
		planner.Step(FetchEnded{Timestamp: Timestamp{Now: now}, FetchID: planner.activeFetches[0].id, Result: Busy})
		for _, other := range planner.neighbours {
			other.backoffUntil, other.busyCount = 0, 0
		}
	}
}
