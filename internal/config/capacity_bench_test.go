package config

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	benchDomains    = 5
	benchServices   = 10
	benchWorkspaces = 20
)

// sizedSet returns a set with the given number of endpoints, spread over the services and failure domains.
func sizedSet(endpoints int) Set {
	var set Set
	for i := range benchDomains {
		set.FailureDomains = append(set.FailureDomains, FailureDomain{Name: core.FailureDomain(fmt.Sprintf("domain-%d", i)), Region: "region"})
	}
	for i := range benchWorkspaces {
		set.Workspaces = append(set.Workspaces, Workspace{Name: core.Workspace(fmt.Sprintf("workspace-%d", i))})
	}
	for i := range benchServices {
		set.Services = append(set.Services, Service{Name: core.Service(fmt.Sprintf("service-%d", i)), Kind: KindPlain, Limits: Limits{Cold: 1, Max: 8}})
	}
	for i := range endpoints {
		service := &set.Services[i%benchServices]
		domain := set.FailureDomains[i%benchDomains].Name
		service.Endpoints = append(service.Endpoints, Endpoint{Host: core.HostID(fmt.Sprintf("runner-%d", i)), FailureDomain: domain})
	}
	return set
}

// BenchmarkSnapshot measures the size of a published configuration, and the time and memory that a host needs to decode
// it. x is the number of endpoints.
func BenchmarkSnapshot(b *testing.B) {
	for _, endpoints := range []int{75, 150, 300, 600} {
		b.Run(fmt.Sprintf("x=%d", endpoints), func(b *testing.B) {
			raw, digest, err := Encode(sizedSet(endpoints))
			if err != nil {
				b.Fatal(err)
			}
			snapshots := make([]*Snapshot, 0, b.N)
			before := heapInUse()
			for b.Loop() {
				snapshot, err := Decode(1, digest, raw)
				if err != nil {
					b.Fatal(err)
				}
				snapshots = append(snapshots, snapshot)
			}
			b.ReportMetric(float64(len(raw)), "bytes")
			b.ReportMetric((heapInUse()-before)/float64(len(snapshots)), "heap-bytes")
			runtime.KeepAlive(snapshots)
		})
	}
}

func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
