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
	smallChunk = 32 << 10
	smallLink  = 4 << 20
	mostOrigin = 4.0 // copies
	mostRegion = 1.3 // copies, of one region
	regions    = 2
)

func smallFleet(change func(*fleetShape)) fleetShape {
	s := fleetShape{hosts: 10, chunks: 32, chunkBytes: smallChunk, linkRate: smallLink, originRate: 4 * smallLink}
	s.limits = func(l *plan.Limits) {
		l.Takeover = 2 * time.Second
		l.LastResort = 4 * time.Second
		l.PeerPatience = 2 * time.Second
	}
	if change != nil {
		change(&s)
	}
	return s
}

func corruptChunk(c fiber.Ctx) error { return c.Send(make([]byte, smallChunk)) }

func missingChunk(c fiber.Ctx) error { return c.SendStatus(wire.StatusChunkMissing) }

// stalledChunk answers with a header and then nothing.
func stalledChunk(c fiber.Ctx) error {
	return c.SendStream(neverReader{c.RequestCtx().Done()}, smallChunk)
}

type neverReader struct{ stop <-chan struct{} }

func (r neverReader) Read([]byte) (int, error) {
	select {
	case <-r.stop:
	case <-time.After(20 * time.Second):
	}
	return 0, os.ErrClosed
}

// TestFleetCompletes brings the version onto every host over sockets, through each fault.
func TestFleetCompletes(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*fleetShape)
		during func(*fleet)
		most   float64 // copies from the origin
	}{
		{"without faults", nil, nil, regions * mostRegion},
		{"a peer sends corrupted chunks", func(s *fleetShape) { s.poison = map[int]fiber.Handler{0: corruptChunk, 3: corruptChunk} }, nil, mostOrigin},
		{"a peer lies about what it holds", func(s *fleetShape) {
			s.poison = map[int]fiber.Handler{0: missingChunk, 3: missingChunk}
			s.claim = map[int]bool{0: true, 3: true}
		}, nil, mostOrigin},
		{"a peer's link stalls", func(s *fleetShape) { s.poison = map[int]fiber.Handler{1: stalledChunk} }, nil, mostOrigin},
		{"the origin sends corrupted chunks", nil, func(f *fleet) { f.origin.corrupt.Store(5) }, 3},
		{"hosts are killed at every phase", nil, func(f *fleet) {
			for _, share := range []float64{0.1, 0.5, 0.9} {
				f.await(share)
				f.kill(0)
			}
		}, mostOrigin},
		{"the origin goes away at half", nil, func(f *fleet) {
			f.until(func() bool { return f.originCopies() >= 0.5 })
			f.origin.down.Store(true)
			f.until(func() bool { return f.origin.refused.Load() > 3 || f.share() == 1 })
			f.origin.down.Store(false)
		}, mostOrigin},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, smallFleet(test.change))
			f.start()
			if test.during != nil {
				test.during(f)
			}
			f.await(1)
			f.checkWhole()
			if drawn := f.originCopies(); drawn > test.most {
				t.Errorf("%.2f copies came from the origin, at most %.2f may", drawn, test.most)
			}
		})
	}
}

// TestDroppedVersionIsNoLongerAnnounced drops a version that a host held: it must not say that it still holds it, and
// must hold it again only after it has fetched it again.
func TestDroppedVersionIsNoLongerAnnounced(t *testing.T) {
	f := newFleet(t, smallFleet(func(s *fleetShape) { s.hosts = 1 }))
	f.start()
	f.await(1)
	only := f.members[0].distributor
	only.Want(context.Background(), nil)
	answer, err := only.swapMaps(context.Background(), wire.Map{Host: "other", Version: f.version})
	if err != nil || answer.Have != nil {
		t.Errorf("a dropped version is announced: %+v, %v", answer, err)
	}
	if f.share() != 0 {
		t.Errorf("%.2f of a dropped version's chunks are kept", f.share())
	}
}

const (
	benchHosts  = 40
	benchChunks = 100
	benchChunk  = 128 << 10
	benchLink   = 288 << 10 // bytes a second, each way: a chunk takes 0.44 s, about as long as at the target's size
	benchOrigin = 4 * benchLink

	ratioBound   = 1.5
	originBound  = 4.0
	linkBound    = 2.2
	controlBound = 4096
)

// BenchmarkFleet measures the distribution to 40 hosts over sockets against the same bounds as in virtual time.
func BenchmarkFleet(b *testing.B) {
	for range b.N {
		f := newFleet(b, fleetShape{hosts: benchHosts, chunks: benchChunks, chunkBytes: benchChunk, linkRate: benchLink, originRate: benchOrigin})
		began := time.Now()
		f.start()
		f.await(1)
		seconds := time.Since(began).Seconds()
		f.checkWhole()
		size := float64(f.manifest.SizeBytes)
		var link, control float64
		for _, m := range f.members {
			traffic := m.distributor.Traffic()
			link = max(link, float64(traffic.Sent+traffic.Received)/size)
			control = max(control, float64(traffic.Control)/seconds)
		}
		lower := size / benchLink
		show(b, "sockets40.time_ratio", seconds/lower, "x", ratioBound)
		show(b, "sockets40.origin_total", f.originCopies(), "copies", originBound)
		show(b, "sockets40.host_link", link, "copies", linkBound)
		show(b, "sockets40.control", control, "B/s", controlBound)
	}
}

func show(b *testing.B, name string, value float64, unit string, most float64) {
	b.Helper()
	if os.Getenv("LOVAGE_BENCH") != "" {
		fmt.Printf("%-34s %10.3f %-8s <=%g\n", name, value, unit, most)
	}
	if value > most {
		b.Errorf("%s is %.3f %s, the bound is %g", name, value, unit, most)
	}
}

const hashedBytes = 16 << 20

// BenchmarkHashing reports how long the store takes to verify and keep a chunk, as a multiple of the library's plain
// SHA-256 of the same chunk. The two are timed in turn and the median of the pairs counts, so that other load on the
// machine weighs on both sides of a ratio.
func BenchmarkHashing(b *testing.B) {
	raw := make([]byte, hashedBytes)
	digest := weights.Sum(raw)
	ratios := make([]float64, 0, b.N)
	b.SetBytes(2 * hashedBytes)
	for range b.N {
		plain := timed(func() { sha256.Sum256(raw) })
		store := timed(func() {
			if err := weights.NewStore(hashedBytes).Put(digest, raw); err != nil {
				b.Fatal(err)
			}
		})
		ratios = append(ratios, float64(store)/float64(plain))
	}
	slices.Sort(ratios)
	b.ReportMetric(ratios[len(ratios)/2], "store/plain")
}

func timed(work func()) time.Duration {
	begin := time.Now()
	work()
	return time.Since(begin)
}
