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

// newPartitionedCluster is a path cluster with an entry that cannot reach the platform and knows one peer.
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

// isReady tells whether an entry takes requests.
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
	options.BookingShare = 0 // a booking's key is claimed at the platform
	options.Entries = c.entries("entry-cut")
	c.await("the entry without the platform answers", func() bool {
		report := load.Run(context.Background(), options)
		return report.Sent > 0 && report.Whole == report.Sent
	})
}

func TestEntryWithNeitherPlatformNorPeersIsNotReady(t *testing.T) {
	c := newCluster(t)
	c.put(c.platformAddr, "/faults", `{"down":true}`)
	c.addEntry("entry-a", "a", nil)
	options := load.Options{Workspace: "space", ModelService: "models", PlainService: "bookings", Rate: 20, Duration: time.Second, Deadline: time.Second}
	c.await("the entry refuses as not ready", func() bool {
		options.Entries = c.entries("entry-a")
		report := load.Run(context.Background(), options)
		return report.Sent > 0 && report.Kinds["not_ready"] == report.Sent && !c.isReady("entry-a")
	})
}

// TestResumedEntryRefreshesItsConfigurationBeforeDispatching freezes an entry over a change that takes its failure domain out,
// and wakes it with requests already waiting at its socket.
func TestResumedEntryRefreshesItsConfigurationBeforeDispatching(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()
	c.signal("entry-b", syscall.SIGSTOP)
	frozen := time.Now()
	_, err := c.runOperator(awaitTimeout, func(ctx context.Context, operator *operate.Operator) error { return operator.SetDomain(ctx, "b", true) })
	c.must(err)
	c.await("the others hold the change", func() bool {
		record, err := c.record("plain-b")
		return err == nil && record.Generation == 2
	})
	c.await("entry-b stood still for longer than a node takes for a pause", func() bool { return time.Since(frozen) > 4*time.Second })
	options := c.loadOptions(time.Second)
	options.BookingShare = 1
	options.Entries = c.entries("entry-b")
	before := c.bookingCountAt("plain-b")
	report := c.runDuringLoad(options, func() {
		began := time.Now()
		c.await("half of the requests wait at the socket", func() bool { return time.Since(began) > options.Duration/2 })
		c.signal("entry-b", syscall.SIGCONT)
	})
	c.checkBookings(report)
	if after := c.bookingCountAt("plain-b"); after != before {
		t.Errorf("plain-b made %d bookings after it was out", after-before)
	}
	c.await("entry-b holds the change and is ready", func() bool {
		record, err := c.record("entry-b")
		return err == nil && record.Generation == 2 && c.isReady("entry-b")
	})
}

// TestRestartsNeverLowerTheGeneration kills and relaunches nodes while generations are published, and watches every
// life of every node.
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
				t.Errorf("the generation of %s fell from %d to %d", id, seen[record.Incarnation], record.Generation)
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
		c.await("all nodes hold the head and are ready", func() bool {
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
