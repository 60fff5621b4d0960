package config

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/platform"
)

// targetSizeSet returns a set of the target size: 600 hosts in 5 failure domains, 10 services and 100 workspaces.
func targetSizeSet() Set {
	set := Set{Models: []Model{{Name: "brief"}}, Versions: []Version{{Name: "v1", Model: "brief", Manifest: testDigest}}}
	for i := range 5 {
		set.FailureDomains = append(set.FailureDomains, FailureDomain{Name: core.FailureDomain(fmt.Sprint("domain-", i)), Region: "east"})
	}
	for i := range 100 {
		set.Workspaces = append(set.Workspaces, Workspace{Name: core.Workspace(fmt.Sprint("workspace-", i)), Objectives: map[core.Service]Objectives{"service-0": {Availability: 0.999}}})
	}
	for i := range 10 {
		service := Service{Name: core.Service(fmt.Sprint("service-", i)), Kind: KindModel, Model: "brief", Limits: Limits{Cold: 4, Max: 32, Queue: 64}, Objectives: Objectives{Availability: 0.999}}
		rule := Rule{Name: string(service.Name), Service: service.Name, Version: "v1", Replicas: make(map[core.FailureDomain]int)}
		for j := range 60 {
			domain := set.FailureDomains[j%5].Name
			service.Endpoints = append(service.Endpoints, Endpoint{Host: core.HostID(fmt.Sprintf("runner-%d-%d", i, j)), FailureDomain: domain})
			rule.Replicas[domain]++
		}
		set.Services = append(set.Services, service)
		set.Rules = append(set.Rules, rule)
	}
	return set
}

func BenchmarkCheckTargetSize(b *testing.B) {
	set := targetSizeSet()
	raw, _, err := Encode(set)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := Check(set); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(raw)), "snapshot-bytes")
}

// countingTables counts the calls to the table service.
type countingTables struct {
	platform.Tables
	reads, writes atomic.Int64
}

func (c *countingTables) Get(ctx context.Context, table, key string) (platform.Row, error) {
	c.reads.Add(1)
	return c.Tables.Get(ctx, table, key)
}

func (c *countingTables) Write(ctx context.Context, writes []platform.Write) ([]platform.WriteResult, error) {
	c.writes.Add(1)
	return c.Tables.Write(ctx, writes)
}

func BenchmarkPublish(b *testing.B) {
	services := newTestPlatform(b)
	tables := &countingTables{Tables: services}
	publisher := Publisher{Tables: tables, Objects: services}
	number := 0
	for b.Loop() {
		number++
		if _, err := publisher.Publish(b.Context(), numberedSet(number%1000), core.NewID()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(tables.reads.Load())/float64(number), "reads/op")
	b.ReportMetric(float64(tables.writes.Load())/float64(number), "writes/op")
}
