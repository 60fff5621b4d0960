package systemtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/load"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// applyLimits sets the limits of all services and waits until they are in force.
func (c *cluster) applyLimits(limits config.Limits) {
	c.t.Helper()
	for i := range c.configuration.Services {
		c.configuration.Services[i].Limits = limits
	}
	c.applyConfiguration()
}

// reportedLoad returns the load that an agent reports. It sends an attempt that the agent refuses, because the attempt
// names no incarnation; the refusal carries the load.
func (c *cluster) reportedLoad(id core.HostID) wire.Load {
	c.t.Helper()
	raw, err := json.Marshal(wire.Dispatch{Attempt: core.AttemptID(core.NewID())})
	c.must(err)
	answer, err := http.Post("http://"+c.nodes[id].host.DataAddress+wire.PathAttempts, "application/json", bytes.NewReader(raw))
	c.must(err)
	defer answer.Body.Close()
	var frame wire.Frame
	c.must(json.NewDecoder(answer.Body).Decode(&frame))
	if frame.Load == nil {
		c.t.Fatalf("%s reports no load: %+v", id, frame)
	}
	return *frame.Load
}

// newSlowCluster starts a two-domain cluster with a further service, "slow", whose two runners take 200 ms to answer.
func newSlowCluster(t *testing.T, limits config.Limits) *cluster {
	c := newTwoDomainCluster(t)
	c.addRunner("slow-a", "a", 20, 10*time.Millisecond)
	c.addRunner("slow-b", "b", 20, 10*time.Millisecond)
	slow := config.Service{Name: "slow", Kind: config.KindModel, Limits: limits, Endpoints: endpoints("slow")}
	rule := config.Rule{Name: "slow", Service: "slow", Version: "brief-v1", Replicas: map[core.FailureDomain]int{"a": 1, "b": 1}}
	c.configuration.Services = append(c.configuration.Services, slow)
	c.configuration.Rules = append(c.configuration.Rules, rule)
	c.applyConfiguration()
	c.await("the slow service answers", func() bool {
		report := load.Run(context.Background(), c.slowLoad(10, 200*time.Millisecond))
		return report.Completed == report.Sent
	})
	return c
}

// slowLoad returns options for a load on the slow service only.
func (c *cluster) slowLoad(rate float64, duration time.Duration) load.Options {
	options := c.loadOptions(duration)
	options.ModelService = "slow"
	options.BookingShare = 0
	options.Rate = rate
	return options
}

func TestColdRunnerIsSentNoMoreThanItsLimit(t *testing.T) {
	const maxConcurrent = 3                                      // concurrent requests above which the engine fails
	const rate = 60                                              // requests per second; about 12 are then in flight
	c := newSlowCluster(t, config.Limits{Cold: 1000, Max: 1000}) // too high to limit anything
	for _, id := range []core.HostID{"slow-a", "slow-b"} {
		c.put(c.backendAddr(id), "/faults", fmt.Sprintf(`{"crash_above_run":%d}`, maxConcurrent))
	}
	// Error answers of an engine have the kind "".
	if report := load.Run(context.Background(), c.slowLoad(rate, time.Second)); report.ErrorKinds[""] == 0 {
		t.Fatalf("no runner failed without a limit, so the load is too small for this test: %+v", report)
	}

	c.applyLimits(config.Limits{Cold: maxConcurrent, Max: maxConcurrent, Queue: 2})
	c.await("the runners are idle", func() bool {
		return c.reportedLoad("slow-a").Running == 0 && c.reportedLoad("slow-b").Running == 0
	})
	report := load.Run(context.Background(), c.slowLoad(rate, 2*time.Second))
	if report.Unknown != 0 || report.Truncated != 0 || report.ErrorKinds[""] != 0 {
		t.Errorf("a runner was sent more concurrent requests than it can handle: %+v", report)
	}
	if report.Completed == 0 || report.NotRun == 0 || report.Completed+report.NotRun != report.Sent {
		t.Errorf("want some requests answered, some refused and none lost: %+v", report)
	}
}

func TestUnexpectedEngineRestartResetsLimitToCold(t *testing.T) {
	c := newSlowCluster(t, config.Limits{Cold: 2, Max: 12, Queue: 8})
	c.await("the limit has risen", func() bool {
		load.Run(context.Background(), c.slowLoad(60, 500*time.Millisecond))
		return c.reportedLoad("slow-a").Limit > 4
	})
	answer, err := http.Post("http://"+c.backendAddr("slow-a")+"/admin/restart", "", nil)
	c.must(err)
	c.must(answer.Body.Close())
	c.await("the limit is back at the cold limit", func() bool {
		load.Run(context.Background(), c.slowLoad(20, 100*time.Millisecond))
		return c.reportedLoad("slow-a").Limit == 2
	})
}

// bookingCountAt returns the number of bookings that one plain service made.
func (c *cluster) bookingCountAt(id core.HostID) int {
	c.t.Helper()
	answer, err := http.Get("http://" + c.backendAddr(id) + "/bookings")
	c.must(err)
	defer answer.Body.Close()
	made := make(map[string]int)
	c.must(json.NewDecoder(answer.Body).Decode(&made))
	return len(made)
}

// bookAtEntryA sends bookings to entry-a only.
func (c *cluster) bookAtEntryA(rate float64) load.Report {
	options := c.loadOptions(500 * time.Millisecond)
	options.Entries = c.dataAddresses("entry-a")
	options.BookingShare = 1
	options.Rate = rate
	return load.Run(context.Background(), options)
}

// bookingsAvoid sends bookings to entry-a and reports whether all succeeded and none was made at the given plain
// service.
func (c *cluster) bookingsAvoid(id core.HostID) bool {
	before := c.bookingCountAt(id)
	report := c.bookAtEntryA(20)
	return report.Completed == report.Sent && c.bookingCountAt(id) == before
}

func TestRequestsPreferLocalFailureDomainAndSpillOver(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()

	c.await("a light load stays local", func() bool { return c.bookingsAvoid("plain-b") })

	c.applyLimits(config.Limits{Cold: 2, Max: 2, Queue: 2})
	c.put(c.backendAddr("plain-a"), "/faults", `{"delay_ms":300}`)
	c.put(c.backendAddr("plain-b"), "/faults", `{"delay_ms":20}`)
	before := c.bookingCountAt("plain-b")
	report := c.bookAtEntryA(30)
	c.checkBookings(report)
	if spilled := c.bookingCountAt("plain-b") - before; spilled == 0 || report.Completed != report.Sent {
		t.Errorf("%d bookings spilled over from a full failure domain: %+v", spilled, report)
	}

	c.put(c.backendAddr("plain-a"), "/faults", `{}`)
	c.configuration.FailureDomains[0].Out = true
	c.applyConfiguration()
	c.await("no booking goes to the failure domain that is out of service", func() bool { return c.bookingsAvoid("plain-a") })
	c.configuration.FailureDomains[0].Out = false
	c.applyConfiguration()
	c.await("bookings are local again", func() bool { return c.bookingsAvoid("plain-b") })
}

func TestLeavingEndpointReceivesNoNewRequests(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()
	c.await("a light load stays local", func() bool { return c.bookingsAvoid("plain-b") })
	hosts := slices.Clone(c.hosts)
	for i := range hosts {
		if hosts[i].ID == "plain-a" {
			hosts[i].State = core.HostLeaving
		}
	}
	c.listHosts(hosts)
	c.await("no booking goes to the leaving endpoint", func() bool { return c.bookingsAvoid("plain-a") })
}

func TestRequestsAreAnsweredDuringVersionDistribution(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()
	next := c.addVersion("brief", "brief-v2", bytes.Repeat([]byte{2}, 300_000), 65536)
	c.put(c.platformAddr, "/faults", `{"origin_bytes_per_s":300000}`) // a copy takes one second
	options := c.loadOptions(5 * time.Second)
	options.BookingShare = 0
	report := c.runDuringLoad(options, func() {
		c.configuration.Versions = append(c.configuration.Versions, next)
		c.configuration.Rules[0].Version = "brief-v2"
		c.applyConfiguration()
	})
	if report.Completed != report.Sent {
		t.Errorf("not every request was answered during the version's distribution: %+v", report)
	}
	record, err := c.record("runner-a")
	c.must(err)
	if len(record.Versions) == 0 || record.Versions[0].Version != next.Manifest {
		t.Errorf("runner-a serves %+v", record.Versions)
	}
}
