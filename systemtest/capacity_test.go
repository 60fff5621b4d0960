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
	ticksPerSecond = 100 // of the processor times in /proc, fixed by the kernel's interface
	measureTime    = 5 * time.Second
	bytesPerMiB    = 1 << 20
	capacityAgents = 4
)

// usage is what a process has used so far.
type usage struct {
	cpu      float64 // seconds of processor time
	resident float64 // bytes
}

// usageOf reads a process's usage from /proc.
func (c *cluster) usageOf(id core.HostID) usage {
	c.t.Helper()
	folder := fmt.Sprintf("/proc/%d/", c.nodes[id].command.Process.Pid)
	stat, err := os.ReadFile(folder + "stat")
	c.must(err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	memory, err := os.ReadFile(folder + "statm")
	c.must(err)
	pages := c.number(strings.Fields(string(memory))[1])
	return usage{
		cpu:      (c.number(fields[11]) + c.number(fields[12])) / ticksPerSecond,
		resident: pages * float64(os.Getpagesize()),
	}
}

func (c *cluster) number(text string) float64 {
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
	c.set = config.Set{
		FailureDomains: []config.FailureDomain{{Name: "a", Region: "a"}},
		Workspaces:     []config.Workspace{{Name: "space"}},
		Models:         []config.Model{{Name: "brief"}},
		Versions:       []config.Version{version},
		Services:       []config.Service{service},
		Rules:          []config.Rule{{Name: "brief", Service: "models", Version: "brief-v1", Replicas: map[core.FailureDomain]int{"a": capacityAgents}}},
	}
	c.apply()
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

// measure loads the cluster and reports the processor time that the entry and each agent took a second, and
// their resident memory.
func (c *cluster) measure(b *testing.B, rate float64) {
	b.Helper()
	c.await("the entry answers", func() bool {
		report := load.Run(context.Background(), c.modelLoad(20, 100*time.Millisecond))
		return report.Sent > 0 && report.Completed == report.Sent
	})
	before := c.usageOfAll()
	start := time.Now()
	report := load.Run(context.Background(), c.modelLoad(rate, measureTime))
	seconds := time.Since(start).Seconds()
	after := c.usageOfAll()
	if report.Completed != report.Sent {
		b.Fatalf("not every answer was whole: %+v", report)
	}
	b.ReportMetric((after[0].cpu-before[0].cpu)/seconds, "entry-cpu-s/s")
	b.ReportMetric((after[1].cpu-before[1].cpu)/seconds/capacityAgents, "agent-cpu-s/s")
	b.ReportMetric(after[0].resident/bytesPerMiB, "entry-MiB")
	b.ReportMetric(after[1].resident/capacityAgents/bytesPerMiB, "agent-MiB")
}

// usageOfAll returns the usage of the entry and the sum over the agents.
func (c *cluster) usageOfAll() [2]usage {
	var sums [2]usage
	for id := range c.nodes {
		at := 1
		if id == "entry-a" {
			at = 0
		}
		used := c.usageOf(id)
		sums[at].cpu += used.cpu
		sums[at].resident += used.resident
	}
	return sums
}

// BenchmarkRequests gives the cost of a request of one token; x is requests a second.
func BenchmarkRequests(b *testing.B) {
	for _, rate := range []float64{100, 200, 400} {
		b.Run(fmt.Sprintf("x=%g", rate), func(b *testing.B) {
			newCapacityCluster(b, 1).measure(b, rate)
		})
	}
}

// BenchmarkTokens gives the cost of a token at ten requests a second; x is tokens a second.
func BenchmarkTokens(b *testing.B) {
	for _, tokens := range []int{100, 300, 900} {
		b.Run(fmt.Sprintf("x=%d", tokens*10), func(b *testing.B) {
			newCapacityCluster(b, tokens).measure(b, 10)
		})
	}
}

// BenchmarkControlAtRest gives the processor time and the memory of control without any request; x is nodes.
func BenchmarkControlAtRest(b *testing.B) {
	for _, nodes := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("x=%d", nodes), func(b *testing.B) {
			newRestCluster(b, nodes).measureRest(b)
		})
	}
}

// newRestCluster starts one entry before plain services, in five failure domains.
func newRestCluster(t testing.TB, nodes int) *cluster {
	c := newCluster(t)
	service := config.Service{Name: "bookings", Kind: config.KindPlain, Limits: config.Limits{Cold: 8, Max: 32, Queue: 8}}
	for i := range 5 {
		domain := core.FailureDomain(fmt.Sprintf("domain-%d", i))
		c.set.FailureDomains = append(c.set.FailureDomains, config.FailureDomain{Name: domain, Region: core.Region(domain)})
	}
	c.addEntry("entry-a", "domain-0", nil)
	for i := range nodes - 1 {
		id := core.HostID(fmt.Sprintf("plain-%d", i))
		domain := c.set.FailureDomains[i%5].Name
		c.addPlain(id, domain)
		service.Endpoints = append(service.Endpoints, config.Endpoint{Host: id, FailureDomain: domain})
	}
	c.set.Workspaces = []config.Workspace{{Name: "space"}}
	c.set.Services = []config.Service{service}
	c.apply()
	return c
}

func (c *cluster) measureRest(b *testing.B) {
	b.Helper()
	agents := float64(len(c.nodes) - 1)
	before := c.usageOfAll()
	start := time.Now()
	<-time.After(2 * measureTime)
	seconds := time.Since(start).Seconds()
	after := c.usageOfAll()
	b.ReportMetric((after[0].cpu-before[0].cpu)/seconds, "entry-cpu-s/s")
	b.ReportMetric((after[1].cpu-before[1].cpu)/seconds/agents, "agent-cpu-s/s")
	b.ReportMetric(after[0].resident/bytesPerMiB, "entry-MiB")
	b.ReportMetric(after[1].resident/agents/bytesPerMiB, "agent-MiB")
}
