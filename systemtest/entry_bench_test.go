package systemtest

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/load"
)

const (
	benchRate     = 20 // requests per second
	benchDuration = 4 * time.Second
	benchCallers  = 64
)

// engineAddresses returns the addresses of the engines themselves, for requests that bypass the entry and the agents.
func (c *cluster) engineAddresses() []string {
	addresses := make([]string, 0, len(c.engines))
	for id := range c.engines {
		addresses = append(addresses, c.backendAddr(id))
	}
	return addresses
}

func (c *cluster) awaitEntryAnswers() {
	c.t.Helper()
	c.await("the entry answers", func() bool {
		report := load.Run(context.Background(), c.modelLoad(benchRate, 200*time.Millisecond))
		return report.Completed == report.Sent
	})
}

// requireComplete fails the benchmark unless every answer was complete.
func requireComplete(b *testing.B, report load.Report) {
	b.Helper()
	if report.Completed != report.Sent {
		b.Fatalf("not every answer was complete: %+v", report)
	}
}

// BenchmarkEntryLatency compares answers through the entry with direct answers from the engines. Both loads are equal
// and run at the same time.
func BenchmarkEntryLatency(b *testing.B) {
	c := newCapacityCluster(b, 200)
	c.awaitEntryAnswers()
	var through, direct load.Report
	for b.Loop() {
		options := c.modelLoad(benchRate, benchDuration)
		directOptions := options
		directOptions.Entries = c.engineAddresses()
		var loads conc.WaitGroup
		loads.Go(func() { through = load.Run(context.Background(), options) })
		loads.Go(func() { direct = load.Run(context.Background(), directOptions) })
		loads.Wait()
	}
	requireComplete(b, through)
	requireComplete(b, direct)
	b.ReportMetric(direct.P50, "direct-p50-ms")
	b.ReportMetric(direct.P95, "direct-p95-ms")
	b.ReportMetric(through.P50-direct.P50, "added-p50-ms")
	b.ReportMetric(through.P95-direct.P95, "added-p95-ms")
	b.ReportMetric(through.FirstTokenP95-direct.FirstTokenP95, "added-first-token-p95-ms")
	b.ReportMetric(through.P50/direct.P50, "ratio-p50")
	b.ReportMetric(through.P95/direct.P95, "ratio-p95")
}

// saturate measures one entry under the load of benchCallers concurrent callers.
func saturate(b *testing.B, tokens int) load.Report {
	c := newCapacityCluster(b, tokens)
	c.awaitEntryAnswers()
	var report load.Report
	for b.Loop() {
		options := c.modelLoad(0, benchDuration)
		options.Concurrency = benchCallers
		report = load.Run(context.Background(), options)
	}
	requireComplete(b, report)
	return report
}

func BenchmarkEntryRequests(b *testing.B) {
	report := saturate(b, 4)
	b.ReportMetric(float64(report.Completed)/report.Seconds, "requests/s")
}

func BenchmarkEntryTokens(b *testing.B) {
	report := saturate(b, 500)
	b.ReportMetric(float64(report.Tokens)/report.Seconds, "tokens/s")
}
