package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/wire"
)

func TestDesks(t *testing.T) {
	for _, load := range []float64{0.3, 0.6, 0.9, 1.1} {
		for _, mode := range []string{"lowest", "random", "two", "room"} {
			rng := rand.New(rand.NewPCG(7, 9))
			const desks, slots = 3, 6
			ends := make([][]time.Duration, desks)
			var eps []*catalog.Endpoint
			for i := range desks {
				eps = append(eps, &catalog.Endpoint{ID: catalog.EndpointID(fmt.Sprint("d", i)), Slots: slots})
			}
			var placers []*Placer
			for range 41 {
				p := NewPlacer()
				p.randIntN = rng.IntN
				placers = append(placers, p)
			}
			type done struct {
				at time.Duration
				g  int
				d  int
			}
			var dones []done
			perSecond := load * desks * slots / 0.030
			sends, total, refused := 0, 0, 0
			for now := time.Duration(0); now < 20*time.Second; now += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)) {
				// deliver finished answers
				kept := dones[:0]
				for _, x := range dones {
					if x.at <= now {
						placers[x.g].Meter(eps[x.d].ID).AddInFlight(-1)
						running := 0
						for _, e := range ends[x.d] {
							if e > x.at {
								running++
							}
						}
						placers[x.g].RecordLoad(eps[x.d], wire.Load{Running: running, Limit: slots}, &Speed{Slowdown: 1}, x.at)
						continue
					}
					kept = append(kept, x)
				}
				dones = kept
				total++
				g := rng.IntN(41)
				tried := map[catalog.EndpointID]bool{}
				at := now
				ok := false
				for len(tried) < desks {
					q := Query{Exclude: tried, Now: at}
					var e *catalog.Endpoint
					var rest []*catalog.Endpoint
					for _, x := range eps {
						if !tried[x.ID] {
							rest = append(rest, x)
						}
					}
					switch mode {
					case "lowest":
						e = placers[g].Pick(eps, q)
					case "random":
						e = rest[rng.IntN(len(rest))]
					case "two":
						e = placers[g].lowestScore(placers[g].sample(rest), q)
					case "room":
						if e = placers[g].firstWithRoom(placers[g].sample(rest), q); e == nil {
							e = placers[g].lowestScore(rest, q)
						}
					}
					tried[e.ID] = true
					d := int(e.ID[1] - '0')
					live := ends[d][:0]
					for _, x := range ends[d] {
						if x > at {
							live = append(live, x)
						}
					}
					ends[d] = live
					sends++
					if len(live) < slots {
						work := time.Duration((0.5 + rng.Float64()) * 30 * float64(time.Millisecond))
						ends[d] = append(ends[d], at+work)
						placers[g].Meter(e.ID).AddInFlight(1)
						dones = append(dones, done{at + work, g, d})
						ok = true
						break
					}
					placers[g].RecordLoad(e, wire.Load{Running: slots, Limit: slots}, &Speed{Slowdown: 1}, at)
					at += 4 * time.Millisecond
				}
				if !ok {
					refused++
				}
			}
			fmt.Printf("load %.1f %-7s sends %.3f a request, refused %.4f\n", load, mode, float64(sends)/float64(total), float64(refused)/float64(total))
		}
	}
}
