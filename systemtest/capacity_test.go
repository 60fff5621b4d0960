package systemtest

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/load"
)

const (
	ticksPerSecond  = 100 // unit of the CPU times in /proc, fixed by the kernel's interface
	measureDuration = 5 * time.Second
	bytesPerMiB     = 1 << 20
	capacityAgents  = 4
)

// usage is the CPU time and memory of a process.
type usage struct {
	cpu      float64 // seconds of CPU time since the start
	resident float64 // bytes of resident memory
}

// processUsage reads the usage of a node's process from /proc.
func (c *cluster) processUsage(id core.HostID) usage {
	c.t.Helper()
	folder := fmt.Sprintf("/proc/%d/", c.nodes[id].command.Process.Pid)
	stat, err := os.ReadFile(folder + "stat")
	c.must(err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	memory, err := os.ReadFile(folder + "statm")
	c.must(err)
	pages := c.parseNumber(strings.Fields(string(memory))[1])
	return usage{
		cpu:      (c.parseNumber(fields[11]) + c.parseNumber(fields[12])) / ticksPerSecond,
		resident: pages * float64(os.Getpagesize()),
	}
}

func (c *cluster) parseNumber(text string) float64 {
	c.t.Helper()
	value, err := strconv.ParseFloat(text, 64)
	c.must(err)
	return value
}

// newCapacityCluster starts one entry and capacityAgents runners, whose answers have the given number of tokens.
func newCapacityCluster(t testing.TB, tokens int) *cluster {
	c := newCluster(t)
	c.addEntry("entry-a", "a", nil)
	service := config.Service{Name: "models", Kind: config.KindModel, Limits: config.Limits{Cold: 500, Max: 500, Queue: 8}}
	for i := range capacityAgents {
		id := core.HostID(fmt.Sprintf("runner-%d", i))
		c.addRunner(id, "a", tokens, time.Millisecond)
		service.Endpoints = append(service.Endpoints, config.Endpoint{Host: id, FailureDomain: "a"})
	}
	version := c.addVersion("brief", "brief-v1", make([]byte, 1000), 1000)
	c.configuration = config.Set{
		FailureDomains: []config.FailureDomain{{Name: "a", Region: "a"}},
		Workspaces:     []config.Workspace{{Name: "space"}},
		Models:         []config.Model{{Name: "brief"}},
		Versions:       []config.Version{version},
		Services:       []config.Service{service},
		Rules:          []config.Rule{{Name: "brief", Service: "models", Version: "brief-v1", Replicas: map[core.FailureDomain]int{"a": capacityAgents}}},
	}
	c.applyConfiguration()
	return c
}

// modelLoad returns options for a load of model requests on entry-a, at the rate in requests per second.
func (c *cluster) modelLoad(rate float64, duration time.Duration) load.Options {
	return load.Options{
		Entries:      c.dataAddresses("entry-a"),
		Workspace:    "space",
		ModelService: "models",
		PlainService: "models",
		Rate:         rate,
		Duration:     duration,
		Deadline:     10 * time.Second,
	}
}

// measureUnderLoad loads the cluster at the rate, in requests per second. It reports the CPU seconds per second and the
// resident memory of the entry and, on average, of an agent.
func (c *cluster) measureUnderLoad(b *testing.B, rate float64) {
	b.Helper()
	c.await("the entry answers", func() bool {
		report := load.Run(context.Background(), c.modelLoad(20, 100*time.Millisecond))
		return report.Sent > 0 && report.Completed == report.Sent
	})
	before := c.totalUsage()
	start := time.Now()
	report := load.Run(context.Background(), c.modelLoad(rate, measureDuration))
	seconds := time.Since(start).Seconds()
	after := c.totalUsage()
	if report.Completed != report.Sent {
		b.Fatalf("not every answer was complete: %+v", report)
	}
	b.ReportMetric((after[0].cpu-before[0].cpu)/seconds, "entry-cpu-s/s")
	b.ReportMetric((after[1].cpu-before[1].cpu)/seconds/capacityAgents, "agent-cpu-s/s")
	b.ReportMetric(after[0].resident/bytesPerMiB, "entry-MiB")
	b.ReportMetric(after[1].resident/capacityAgents/bytesPerMiB, "agent-MiB")
}

// totalUsage returns the usage of the entry, and the sum of the agents' usages.
func (c *cluster) totalUsage() [2]usage {
	var sums [2]usage
	for id := range c.nodes {
		group := 1
		if id == "entry-a" {
			group = 0
		}
		used := c.processUsage(id)
		sums[group].cpu += used.cpu
		sums[group].resident += used.resident
	}
	return sums
}

// BenchmarkRequests measures the cost of requests with one token; x is requests per second.
func BenchmarkRequests(b *testing.B) {
	for _, rate := range []float64{100, 200, 400} {
		b.Run(fmt.Sprintf("x=%g", rate), func(b *testing.B) {
			newCapacityCluster(b, 1).measureUnderLoad(b, rate)
		})
	}
}

// BenchmarkTokens measures the cost of tokens at ten requests per second; x is tokens per second.
func BenchmarkTokens(b *testing.B) {
	for _, tokens := range []int{100, 300, 900} {
		b.Run(fmt.Sprintf("x=%d", tokens*10), func(b *testing.B) {
			newCapacityCluster(b, tokens).measureUnderLoad(b, 10)
		})
	}
}

// BenchmarkControlAtRest measures the CPU time and memory of the control traffic without any requests; x is nodes.
func BenchmarkControlAtRest(b *testing.B) {
	for _, nodes := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("x=%d", nodes), func(b *testing.B) {
			newIdleCluster(b, nodes).measureIdle(b)
		})
	}
}

// newIdleCluster starts one entry and nodes-1 plain services in five failure domains.
func newIdleCluster(t testing.TB, nodes int) *cluster {
	c := newCluster(t)
	service := config.Service{Name: "bookings", Kind: config.KindPlain, Limits: config.Limits{Cold: 8, Max: 32, Queue: 8}}
	for i := range 5 {
		domain := core.FailureDomain(fmt.Sprintf("domain-%d", i))
		c.configuration.FailureDomains = append(c.configuration.FailureDomains, config.FailureDomain{Name: domain, Region: core.Region(domain)})
	}
	c.addEntry("entry-a", "domain-0", nil)
	for i := range nodes - 1 {
		id := core.HostID(fmt.Sprintf("plain-%d", i))
		domain := c.configuration.FailureDomains[i%5].Name
		c.addPlainService(id, domain)
		service.Endpoints = append(service.Endpoints, config.Endpoint{Host: id, FailureDomain: domain})
	}
	c.configuration.Workspaces = []config.Workspace{{Name: "space"}}
	c.configuration.Services = []config.Service{service}
	c.applyConfiguration()
	return c
}

func (c *cluster) measureIdle(b *testing.B) {
	b.Helper()
	agents := float64(len(c.nodes) - 1)
	before := c.totalUsage()
	start := time.Now()
	<-time.After(2 * measureDuration)
	seconds := time.Since(start).Seconds()
	after := c.totalUsage()
	b.ReportMetric((after[0].cpu-before[0].cpu)/seconds, "entry-cpu-s/s")
	b.ReportMetric((after[1].cpu-before[1].cpu)/seconds/agents, "agent-cpu-s/s")
	b.ReportMetric(after[0].resident/bytesPerMiB, "entry-MiB")
	b.ReportMetric(after[1].resident/agents/bytesPerMiB, "agent-MiB")
}
