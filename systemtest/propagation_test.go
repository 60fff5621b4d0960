package systemtest

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/load"
	"github.com/lovageglade/lovageglade/internal/operate"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/wire"
)

func containsAll(text string, parts ...string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// newPartitionedCluster returns a two-domain cluster with a further entry, entry-cut, which cannot reach the platform
// and has entry-a as its only seed.
func newPartitionedCluster(t *testing.T) *cluster {
	c := newTwoDomainCluster(t)
	c.addEntry("entry-cut", "a", func(entrySettings *settings.Entry) {
		unreachable := c.newIP() + ":1"
		entrySettings.Platform = settings.Platform{TablesAddress: unreachable, ObjectsAddress: unreachable, HostsAddress: unreachable, OriginAddress: unreachable}
		entrySettings.Seeds = []string{c.nodes["entry-a"].host.ControlAddress}
	})
	c.await("the entry without the platform is ready", func() bool { return c.isReady("entry-cut") })
	return c
}

// isReady reports whether an entry is ready to take requests.
func (c *cluster) isReady(id core.HostID) bool {
	answer, err := http.Get("http://" + c.nodes[id].host.DataAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func TestEntryStartsWithPlatformUnavailable(t *testing.T) {
	c := newPartitionedCluster(t)
	options := c.loadOptions(500 * time.Millisecond)
	options.BookingShare = 0 // bookings need the platform, which stores the claims of their keys
	options.Entries = c.dataAddresses("entry-cut")
	c.await("the entry without the platform answers", func() bool {
		report := load.Run(context.Background(), options)
		return report.Sent > 0 && report.Completed == report.Sent
	})
}

func TestEntryWithNeitherPlatformNorPeersIsNotReady(t *testing.T) {
	c := newCluster(t)
	c.put(c.platformAddr, "/faults", `{"down":true}`)
	c.addEntry("entry-a", "a", nil)
	options := load.Options{Workspace: "space", ModelService: "models", PlainService: "bookings", Rate: 20, Duration: time.Second, Deadline: time.Second}
	c.await("the entry refuses as not ready", func() bool {
		options.Entries = c.dataAddresses("entry-a")
		report := load.Run(context.Background(), options)
		return report.Sent > 0 && report.ErrorKinds["not_ready"] == report.Sent && !c.isReady("entry-a")
	})
}

// TestResumedEntryRefreshesItsConfigurationBeforeDispatching suspends an entry while its failure domain is taken out of
// service, and resumes it when requests already wait at its socket. It must not dispatch them by its old configuration.
func TestResumedEntryRefreshesItsConfigurationBeforeDispatching(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()
	c.suspend("entry-b")
	suspendedAt := time.Now()
	_, err := c.runOperator(awaitTimeout, func(ctx context.Context, operator *operate.Operator) error { return operator.SetDomain(ctx, "b", true) })
	c.must(err)
	c.await("plain-b has the new configuration", func() bool {
		record, err := c.record("plain-b")
		return err == nil && record.Generation == 2
	})
	c.await("entry-b is suspended for longer than the threshold at which a node detects a suspension", func() bool { return time.Since(suspendedAt) > 4*time.Second })
	options := c.loadOptions(time.Second)
	options.BookingShare = 1
	options.Entries = c.dataAddresses("entry-b")
	before := c.bookingCountAt("plain-b")
	report := c.runDuringLoad(options, func() {
		began := time.Now()
		c.await("half of the load's duration has passed, so that requests wait at the socket", func() bool { return time.Since(began) > options.Duration/2 })
		c.signal("entry-b", syscall.SIGCONT)
	})
	c.checkBookings(report)
	if after := c.bookingCountAt("plain-b"); after != before {
		t.Errorf("plain-b made %d bookings after its failure domain was out of service", after-before)
	}
	c.await("entry-b has the new configuration and is ready", func() bool {
		record, err := c.record("entry-b")
		return err == nil && record.Generation == 2 && c.isReady("entry-b")
	})
}

// TestRestartsNeverLowerTheGeneration kills and restarts nodes while generations are published. Within each incarnation
// of each node, the generation must never decrease.
func TestRestartsNeverLowerTheGeneration(t *testing.T) {
	c := newTwoDomainCluster(t)
	seen := make(map[core.Incarnation]core.Generation)
	watch := func() bool {
		for id := range c.nodes {
			record, err := c.record(id)
			if err != nil {
				continue
			}
			if record.Generation < seen[record.Incarnation] {
				t.Errorf("the generation of %s decreased from %d to %d", id, seen[record.Incarnation], record.Generation)
			}
			seen[record.Incarnation] = record.Generation
		}
		return true
	}
	for i, id := range []core.HostID{"entry-a", "runner-b", "plain-a", "entry-b"} {
		out := i%2 == 0
		c.kill(id)
		watch()
		_, err := c.runOperator(awaitTimeout, func(ctx context.Context, operator *operate.Operator) error { return operator.SetDomain(ctx, "b", out) })
		c.must(err)
		watch()
		c.restart(id)
		c.await("all nodes have the newest generation and are ready", func() bool {
			watch()
			return c.allReadyAt(core.Generation(2 + i))
		})
	}
}

func (c *cluster) allReadyAt(generation core.Generation) bool {
	for id := range c.nodes {
		record, err := c.record(id)
		if err != nil || record.Generation != generation || record.Phase != wire.PhaseReady {
			return false
		}
	}
	return true
}
