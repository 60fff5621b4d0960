package distribution

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/weights/plan"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	smallChunkBytes = 32 << 10
	smallLinkRate   = 4 << 20
	maxOriginCopies = 4.0 // copies of the version
	maxRegionCopies = 1.3 // copies of the version for one region
	regionCount     = 2
)

func smallFleetConfig(modify func(*fleetConfig)) fleetConfig {
	config := fleetConfig{hosts: 10, chunks: 32, chunkBytes: smallChunkBytes, linkRate: smallLinkRate, originRate: 4 * smallLinkRate}
	config.limits = func(limits *plan.Limits) {
		limits.TakeoverTimeout = 2 * time.Second
		limits.OriginFallbackTimeout = 4 * time.Second
		limits.MinPeerTimeout = 2 * time.Second
	}
	if modify != nil {
		modify(&config)
	}
	return config
}

func serveCorruptChunk(c fiber.Ctx) error { return c.Send(make([]byte, smallChunkBytes)) }

func serveMissingChunk(c fiber.Ctx) error { return c.SendStatus(wire.StatusChunkMissing) }

// serveStalledChunk sends a response header and then no data.
func serveStalledChunk(c fiber.Ctx) error {
	return c.SendStream(stalledReader{c.RequestCtx().Done()}, smallChunkBytes)
}

type stalledReader struct{ done <-chan struct{} }

func (r stalledReader) Read([]byte) (int, error) {
	select {
	case <-r.done:
	case <-time.After(20 * time.Second):
	}
	return 0, os.ErrClosed
}

// TestFleetCompletesDespiteFaults distributes a version to every host over sockets while faults are injected.
func TestFleetCompletesDespiteFaults(t *testing.T) {
	for _, test := range []struct {
		name      string
		change    func(*fleetConfig)
		during    func(*fleet)
		maxCopies float64 // copies fetched from the origin
	}{
		{"without faults", nil, nil, regionCount * maxRegionCopies},
		{"a peer sends corrupted chunks", func(config *fleetConfig) {
			config.chunkHandlers = map[int]fiber.Handler{0: serveCorruptChunk, 3: serveCorruptChunk}
		}, nil, maxOriginCopies},
		{"a peer announces chunks that it does not have", func(config *fleetConfig) {
			config.chunkHandlers = map[int]fiber.Handler{0: serveMissingChunk, 3: serveMissingChunk}
			config.announceAll = map[int]bool{0: true, 3: true}
		}, nil, maxOriginCopies},
		{"a peer's link stalls", func(config *fleetConfig) { config.chunkHandlers = map[int]fiber.Handler{1: serveStalledChunk} }, nil, maxOriginCopies},
		{"the origin sends corrupted chunks", nil, func(f *fleet) { f.origin.corruptReads.Store(5) }, 3},
		{"hosts are killed at every phase", nil, func(f *fleet) {
			for _, share := range []float64{0.1, 0.5, 0.9} {
				f.awaitShare(share)
				f.kill(0)
			}
		}, maxOriginCopies},
		{"the origin is unavailable for some time after half a copy", nil, func(f *fleet) {
			f.awaitCondition(func() bool { return f.originCopies() >= 0.5 })
			f.origin.down.Store(true)
			f.awaitCondition(func() bool { return f.origin.refusedReads.Load() > 3 || f.verifiedShare() == 1 })
			f.origin.down.Store(false)
		}, maxOriginCopies},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, smallFleetConfig(test.change))
			f.start()
			if test.during != nil {
				test.during(f)
			}
			f.awaitShare(1)
			f.checkStoredBytes()
			if copies := f.originCopies(); copies > test.maxCopies {
				t.Errorf("%.2f copies were fetched from the origin, want at most %.2f", copies, test.maxCopies)
			}
		})
	}
}

// TestDroppedVersionIsNotAnnounced guards against stale chunk maps: after a complete version is dropped, the host must not
// announce its chunks and must have removed them from the store.
func TestDroppedVersionIsNotAnnounced(t *testing.T) {
	f := newFleet(t, smallFleetConfig(func(config *fleetConfig) { config.hosts = 1 }))
	f.start()
	f.awaitShare(1)
	distributor := f.members[0].distributor
	distributor.SetVersions(context.Background(), nil)
	answer, err := distributor.handleChunkMapExchange(context.Background(), wire.ChunkMap{Host: "other", Version: f.version})
	if err != nil || answer.Have != nil {
		t.Errorf("the host announces a dropped version: %+v, %v", answer, err)
	}
	if f.verifiedShare() != 0 {
		t.Errorf("the store still has a share of %.2f of the dropped version's chunks", f.verifiedShare())
	}
}

const (
	benchHosts      = 40
	benchChunks     = 100
	benchChunkBytes = 128 << 10
	benchLinkRate   = 288 << 10 // bytes per second, each way; a chunk takes 0.44 s, about as long as at the target size
	benchOriginRate = 4 * benchLinkRate

	maxTimeRatio         = 1.5
	maxBenchOriginCopies = 4.0
	maxLinkCopies        = 2.2
	maxControlRate       = 4096
)

// BenchmarkFleet distributes a version to 40 hosts over sockets and checks the same bounds as the simulation in package
// plan.
func BenchmarkFleet(b *testing.B) {
	for range b.N {
		f := newFleet(b, fleetConfig{hosts: benchHosts, chunks: benchChunks, chunkBytes: benchChunkBytes, linkRate: benchLinkRate, originRate: benchOriginRate})
		started := time.Now()
		f.start()
		f.awaitShare(1)
		seconds := time.Since(started).Seconds()
		f.checkStoredBytes()
		size := float64(f.manifest.SizeBytes)
		var link, control float64
		for _, m := range f.members {
			traffic := m.distributor.Traffic()
			link = max(link, float64(traffic.SentBytes+traffic.ReceivedBytes)/size)
			control = max(control, float64(traffic.ControlBytes)/seconds)
		}
		minSeconds := size / benchLinkRate
		checkFigure(b, "sockets40.time_ratio", seconds/minSeconds, "x", maxTimeRatio)
		checkFigure(b, "sockets40.origin_total", f.originCopies(), "copies", maxBenchOriginCopies)
		checkFigure(b, "sockets40.host_link", link, "copies", maxLinkCopies)
		checkFigure(b, "sockets40.control", control, "B/s", maxControlRate)
	}
}

func checkFigure(b *testing.B, name string, value float64, unit string, limit float64) {
	b.Helper()
	if os.Getenv("LOVAGE_BENCH") != "" {
		fmt.Printf("%-34s %10.3f %-8s <=%g\n", name, value, unit, limit)
	}
	if value > limit {
		b.Errorf("%s is %.3f %s, the bound is %g", name, value, unit, limit)
	}
}

const hashedChunkBytes = 16 << 20

// BenchmarkHashing reports how long the store takes to verify and keep a chunk, as a multiple of a plain SHA-256 of the
// same chunk. The two are timed alternately and the median ratio is reported, so that other load on the machine affects
// both sides equally.
func BenchmarkHashing(b *testing.B) {
	raw := make([]byte, hashedChunkBytes)
	digest := weights.Sum(raw)
	ratios := make([]float64, 0, b.N)
	b.SetBytes(2 * hashedChunkBytes)
	for range b.N {
		plain := elapsed(func() { sha256.Sum256(raw) })
		store := elapsed(func() {
			if err := weights.NewStore(hashedChunkBytes).Put(digest, raw); err != nil {
				b.Fatal(err)
			}
		})
		ratios = append(ratios, float64(store)/float64(plain))
	}
	slices.Sort(ratios)
	b.ReportMetric(ratios[len(ratios)/2], "store/plain")
}

func elapsed(work func()) time.Duration {
	started := time.Now()
	work()
	return time.Since(started)
}
