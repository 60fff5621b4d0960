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
	ticksPerSecond  = 100 // of the processor times in /proc, fixed by the kernel's interface
	measureDuration = 5 * time.Second
	bytesPerMiB     = 1 << 20
	capacityAgents  = 4
)

// usage is what a process has used so far.
type usage struct {
	cpu      float64 // seconds of processor time
	resident float64 // bytes
}

// processUsage reads a process's usage from /proc.
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

// newCapacityCluster starts one entry before the runners whose answers have the number of tokens.
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

func (c *cluster) modelLoad(rate float64, duration time.Duration) load.Options {
	return load.Options{
		Entries:      c.entries("entry-a"),
		Workspace:    "space",
		ModelService: "models",
		PlainService: "models",
		Rate:         rate,
		Duration:     duration,
		Deadline:     10 * time.Second,
	}
}

// measureUnderLoad loads the cluster and reports the processor time that the entry and each agent took a second, and
// their resident memory.
func (c *cluster) measureUnderLoad(b *testing.B, rate float64) {
	b.Helper()
	c.await("the entry answers", func() bool {
		report := load.Run(context.Background(), c.modelLoad(20, 100*time.Millisecond))
		return report.Sent > 0 && report.Whole == report.Sent
	})
	before := c.totalUsage()
	start := time.Now()
	report := load.Run(context.Background(), c.modelLoad(rate, measureDuration))
	seconds := time.Since(start).Seconds()
	after := c.totalUsage()
	if report.Whole != report.Sent {
		b.Fatalf("not every answer was whole: %+v", report)
	}
	b.ReportMetric((after[0].cpu-before[0].cpu)/seconds, "entry-cpu-s/s")
	b.ReportMetric((after[1].cpu-before[1].cpu)/seconds/capacityAgents, "agent-cpu-s/s")
	b.ReportMetric(after[0].resident/bytesPerMiB, "entry-MiB")
	b.ReportMetric(after[1].resident/capacityAgents/bytesPerMiB, "agent-MiB")
}

// totalUsage returns the usage of the entry and the sum over the agents.
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

// BenchmarkRequests gives the cost of a request of one token; x is requests a second.
func BenchmarkRequests(b *testing.B) {
	for _, rate := range []float64{100, 200, 400} {
		b.Run(fmt.Sprintf("x=%g", rate), func(b *testing.B) {
			newCapacityCluster(b, 1).measureUnderLoad(b, rate)
		})
	}
}

// BenchmarkTokens gives the cost of a token at ten requests a second; x is tokens a second.
func BenchmarkTokens(b *testing.B) {
	for _, tokens := range []int{100, 300, 900} {
		b.Run(fmt.Sprintf("x=%d", tokens*10), func(b *testing.B) {
			newCapacityCluster(b, tokens).measureUnderLoad(b, 10)
		})
	}
}

// BenchmarkControlAtRest gives the processor time and the memory of control without any request; x is nodes.
func BenchmarkControlAtRest(b *testing.B) {
	for _, nodes := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("x=%d", nodes), func(b *testing.B) {
			newIdleCluster(b, nodes).measureIdle(b)
		})
	}
}

// newIdleCluster starts one entry before plain services, in five failure domains.
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
