package routing

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const targetEndpoints = 600

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// randomView draws a view in which some endpoints have no record, are leaving, draining, out of service or on other
// versions.
func randomView(t *rapid.T, tb testing.TB) *node.View {
	n := rapid.IntRange(0, 12).Draw(t, "endpoints")
	view := newView(tb, n, func(set *config.Set) {
		for i := range set.FailureDomains {
			set.FailureDomains[i].Out = rapid.IntRange(0, 3).Draw(t, "out") == 0
		}
	})
	for i := range n {
		id := view.Snapshot.Set.Services[0].Endpoints[i].Host
		switch rapid.IntRange(0, 9).Draw(t, "state") {
		case 0:
			delete(view.Records, id)
		case 1:
			host := view.Hosts[id]
			host.State = core.HostLeaving
			view.Hosts[id] = host
		case 2:
			updateRecord(view, id, func(r *wire.Record) { r.Phase = wire.PhaseDraining })
		case 3:
			updateRecord(view, id, func(r *wire.Record) { r.Versions[0].Version = olderVersion })
		case 4:
			updateRecord(view, id, func(r *wire.Record) { r.Versions[0].Version = otherModel })
		case 5:
			updateRecord(view, id, func(r *wire.Record) { r.Versions[0].Phase = wire.VersionVerified })
		}
	}
	return view
}

func TestPickMatchesNaiveImplementation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		view := randomView(rt, t)
		meters := NewLoadMeters()
		index := BuildIndex(view, entryLocality, meters)
		for range rapid.IntRange(1, 30).Draw(rt, "picks") {
			query := Query{
				Seed:    rapid.Uint64().Draw(rt, "seed"),
				Prefix:  rapid.Uint64Range(0, 2).Draw(rt, "prefix"),
				Now:     time.Duration(rapid.IntRange(0, 20).Draw(rt, "now")) * time.Second,
				Exclude: make(map[core.HostID]bool),
			}
			for _, endpoint := range view.Snapshot.Set.Services[0].Endpoints {
				id := endpoint.Host
				load := wire.Load{Running: rapid.IntRange(0, 9).Draw(rt, "running"), Limit: rapid.IntRange(0, 8).Draw(rt, "limit")}
				switch rapid.IntRange(0, 9).Draw(rt, "event") {
				case 0:
					meters.ForHost(id).RecordReport(load, query.Now)
				case 1:
					query.Exclude[id] = true
				}
			}
			var got core.HostID
			if chosen := index.Service("models").Pick(query); chosen != nil {
				got = chosen.Host.ID
				chosen.Meter.AddInFlight(1)
			}
			pickedMeter := meters.ForHost(got)
			pickedMeter.AddInFlight(-1)
			want := naivePick(view, meters, query)
			pickedMeter.AddInFlight(1)
			if got != want {
				rt.Fatalf("picked %q, the naive implementation picked %q", got, want)
			}
		}
	})
}

func TestPickAllocatesNothing(t *testing.T) {
	service := BuildIndex(newView(t, targetEndpoints, nil), entryLocality, NewLoadMeters()).Service("models")
	for name, prefix := range map[string]uint64{"two choices": 0, "affinity": 7} {
		seed := uint64(0)
		allocations := testing.AllocsPerRun(100, func() {
			seed++
			service.Pick(Query{Seed: seed, Prefix: prefix})
		})
		if allocations != 0 {
			t.Errorf("%s: %v allocations per pick, want 0", name, allocations)
		}
	}
}

// pickRepeatedly picks n times, adds each pick to the load, and returns the number of picks per failure domain.
func pickRepeatedly(service *Service, meters *LoadMeters, n int, query Query) map[core.FailureDomain]int {
	counts := make(map[core.FailureDomain]int)
	for range n {
		query.Seed++
		chosen := service.Pick(query)
		meters.ForHost(chosen.Host.ID).AddInFlight(1)
		counts[chosen.Host.FailureDomain]++
	}
	return counts
}

func TestPickStaysLocalUntilFullThenSpillsToItsRegionFirst(t *testing.T) {
	meters := NewLoadMeters()
	service := BuildIndex(newView(t, 50, nil), entryLocality, meters).Service("models")
	const domainCapacity = 10 * coldLimit
	if counts := pickRepeatedly(service, meters, domainCapacity, Query{}); counts["d0"] != domainCapacity {
		t.Errorf("requests left the local failure domain before it was full: %v", counts)
	}
	if counts := pickRepeatedly(service, meters, 2*domainCapacity, Query{Seed: 1000}); counts["d1"] != domainCapacity || counts["d2"] != domainCapacity {
		t.Errorf("requests did not spill over to the same region: %v", counts)
	}
	if counts := pickRepeatedly(service, meters, 2*domainCapacity, Query{Seed: 2000}); counts["d3"]+counts["d4"] != 2*domainCapacity {
		t.Errorf("requests did not spill over to the other region: %v", counts)
	}
	if counts := pickRepeatedly(service, meters, 5, Query{Seed: 3000}); counts["d0"] != 5 {
		t.Errorf("requests above all limits were not sent to the local failure domain: %v", counts)
	}
}

func TestPickSpillsWhenTheLocalFailureDomainIsOut(t *testing.T) {
	meters := NewLoadMeters()
	view := newView(t, 50, func(set *config.Set) { set.FailureDomains[0].Out = true })
	counts := pickRepeatedly(BuildIndex(view, entryLocality, meters).Service("models"), meters, 20, Query{})
	if counts["d1"]+counts["d2"] != 20 {
		t.Errorf("requests did not spill over to the same region: %v", counts)
	}
}

func TestPickRespectsEndpointLimits(t *testing.T) {
	meters := NewLoadMeters()
	service := BuildIndex(newView(t, 10, nil), entryLocality, meters).Service("models") // h0 and h5 are local
	meters.ForHost("h0").RecordReport(wire.Load{Limit: 30}, 0)
	meters.ForHost("h5").RecordReport(wire.Load{Limit: 3}, 0)
	pickRepeatedly(service, meters, 22, Query{})
	if small := meters.ForHost("h5").Load(0, coldLimit); small > 3 {
		t.Errorf("the endpoint with a limit of 3 got %d requests", small)
	}
	if large := meters.ForHost("h0").Load(0, coldLimit); large < 19 {
		t.Errorf("the endpoint with a limit of 30 got %d requests, want at least 19", large)
	}
}

func TestPickRampsUpAReturningFailureDomain(t *testing.T) {
	meters := NewLoadMeters()
	view := newView(t, 50, nil)
	service := BuildIndex(view, entryLocality, meters).Service("models")
	for id := range view.Hosts {
		meters.ForHost(id).RecordReport(wire.Load{Limit: 32}, 0)
	}
	const domainCapacity = 10 * coldLimit
	returned := Query{Now: time.Hour} // all reports have expired since the failure domain went out
	if counts := pickRepeatedly(service, meters, 2*domainCapacity, returned); counts["d0"] != domainCapacity {
		t.Errorf("picks %v before the returning failure domain reported a limit, want its cold limit", counts)
	}
	meters.ForHost("h0").RecordReport(wire.Load{Running: coldLimit, Limit: 32}, time.Hour)
	returned.Seed = 1000
	if counts := pickRepeatedly(service, meters, 20, returned); counts["d0"] != 20 {
		t.Errorf("picks %v after an endpoint reported spare capacity, want 20 in d0", counts)
	}
}

func benchmarkQuery(i int, prefixes bool) Query {
	query := Query{Seed: uint64(i)}
	if prefixes {
		query.Prefix = uint64(i%64 + 1)
	}
	return query
}

func benchmarkPick(b *testing.B, prefixes bool) {
	service := BuildIndex(newView(b, targetEndpoints, nil), entryLocality, NewLoadMeters()).Service("models")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		service.Pick(benchmarkQuery(i, prefixes))
	}
}

func BenchmarkPick(b *testing.B)         { benchmarkPick(b, false) }
func BenchmarkPickAffinity(b *testing.B) { benchmarkPick(b, true) }

// BenchmarkPickFull picks when no endpoint has capacity, so that every tier is searched.
func BenchmarkPickFull(b *testing.B) {
	meters := NewLoadMeters()
	service := BuildIndex(newView(b, targetEndpoints, nil), entryLocality, meters).Service("models")
	pickRepeatedly(service, meters, targetEndpoints*coldLimit, Query{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		service.Pick(benchmarkQuery(i, true))
	}
}

func BenchmarkPickNaive(b *testing.B) {
	view := newView(b, targetEndpoints, nil)
	meters := NewLoadMeters()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		naivePick(view, meters, benchmarkQuery(i, true))
	}
}

func BenchmarkBuild(b *testing.B) {
	view := newView(b, targetEndpoints, nil)
	meters := NewLoadMeters()
	b.ReportAllocs()
	for b.Loop() {
		BuildIndex(view, entryLocality, meters)
	}
}
