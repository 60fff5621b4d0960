package systemtest

import (
	"context"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/load"
)

// newTwoDomainCluster starts a cluster of two failure domains, each with an entry, a runner and a plain service.
func newTwoDomainCluster(t testing.TB) *cluster {
	c := newCluster(t)
	c.addEntry("entry-a", "a", nil)
	c.addEntry("entry-b", "b", nil)
	c.addRunner("runner-a", "a", 5, time.Millisecond)
	c.addRunner("runner-b", "b", 5, time.Millisecond)
	c.addPlainService("plain-a", "a")
	c.addPlainService("plain-b", "b")
	version := c.addVersion("brief", "brief-v1", make([]byte, 300_000), 65536)
	c.configuration = config.Set{
		FailureDomains: []config.FailureDomain{{Name: "a", Region: "a"}, {Name: "b", Region: "b"}},
		Workspaces:     []config.Workspace{{Name: "space"}},
		Models:         []config.Model{{Name: "brief"}},
		Versions:       []config.Version{version},
		Services: []config.Service{
			{Name: "models", Kind: config.KindModel, Limits: config.Limits{Cold: 8, Max: 32, Queue: 8}, Endpoints: endpoints("runner")},
			{Name: "bookings", Kind: config.KindPlain, Limits: config.Limits{Cold: 8, Max: 32, Queue: 8}, Endpoints: endpoints("plain")},
		},
		Rules: []config.Rule{{Name: "brief", Service: "models", Version: "brief-v1", Replicas: map[core.FailureDomain]int{"a": 1, "b": 1}}},
	}
	c.applyConfiguration()
	return c
}

func endpoints(prefix core.HostID) []config.Endpoint {
	return []config.Endpoint{{Host: prefix + "-a", FailureDomain: "a"}, {Host: prefix + "-b", FailureDomain: "b"}}
}

// dataAddresses returns the data addresses of the given nodes, which callers send requests to.
func (c *cluster) dataAddresses(ids ...core.HostID) []string {
	addresses := make([]string, 0, len(ids))
	for _, id := range ids {
		addresses = append(addresses, c.nodes[id].host.DataAddress)
	}
	return addresses
}

// loadOptions returns options for a light load of model requests and bookings on both entries.
func (c *cluster) loadOptions(duration time.Duration) load.Options {
	return load.Options{
		Entries:      c.dataAddresses("entry-a", "entry-b"),
		Workspace:    "space",
		ModelService: "models",
		PlainService: "bookings",
		Rate:         20,
		Duration:     duration,
		BookingShare: 0.5,
		Deadline:     10 * time.Second,
	}
}

// awaitAnswers waits until both entries answer requests for both services.
func (c *cluster) awaitAnswers() {
	c.t.Helper()
	c.await("both entries answer both services", func() bool {
		options := c.loadOptions(200 * time.Millisecond)
		report := load.Run(context.Background(), options)
		return report.Sent > 0 && report.Completed == report.Sent
	})
}

func TestRequestsAreAnsweredCompletely(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()
	report := load.Run(context.Background(), c.loadOptions(time.Second))
	if report.Completed != report.Sent {
		t.Fatalf("not every answer was complete: %+v", report)
	}
}
