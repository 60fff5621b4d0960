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

// newCutCluster is a path cluster with an entry that cannot reach the platform and knows one peer.
func newCutCluster(t *testing.T) *cluster {
	c := newPathCluster(t)
	c.addEntry("entry-cut", "a", func(own *settings.Entry) {
		nowhere := c.newIP() + ":1"
		own.Platform = settings.Platform{TablesAddress: nowhere, ObjectsAddress: nowhere, HostsAddress: nowhere, OriginAddress: nowhere}
		own.Seeds = []string{c.nodes["entry-a"].host.ControlAddress}
	})
	c.await("the entry without the platform is ready", func() bool { return c.ready("entry-cut") })
	return c
}

// ready tells whether an entry takes requests.
func (c *cluster) ready(id core.HostID) bool {
	answer, err := http.Get("http://" + c.nodes[id].host.DataAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func TestEntryStartsWithPlatformAway(t *testing.T) {
	c := newCutCluster(t)
	options := c.loadOptions(500 * time.Millisecond)
	options.BookingShare = 0 // a booking's key is claimed at the platform
	options.Entries = c.entries("entry-cut")
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
		options.Entries = c.entries("entry-a")
		report := load.Run(context.Background(), options)
		return report.Sent > 0 && report.ErrorKinds["not_ready"] == report.Sent && !c.ready("entry-a")
	})
}

// TestFrozenEntryDispatchesNothingBeforeItHasLooked freezes an entry over a change that takes its failure domain out,
// and wakes it with requests already waiting at its socket.
func TestFrozenEntryDispatchesNothingBeforeItHasLooked(t *testing.T) {
	c := newPathCluster(t)
	c.warm()
	c.signal("entry-b", syscall.SIGSTOP)
	frozen := time.Now()
	_, err := c.operate(awaitLimit, func(ctx context.Context, operator *operate.Operator) error { return operator.SetDomain(ctx, "b", true) })
	c.must(err)
	c.await("the others hold the change", func() bool {
		record, err := c.record("plain-b")
		return err == nil && record.Generation == 2
	})
	c.await("entry-b stood still for longer than a node takes for a pause", func() bool { return time.Since(frozen) > 4*time.Second })
	options := c.loadOptions(time.Second)
	options.BookingShare = 1
	options.Entries = c.entries("entry-b")
	before := c.madeAt("plain-b")
	report := c.during(options, func() {
		began := time.Now()
		c.await("half of the requests wait at the socket", func() bool { return time.Since(began) > options.Duration/2 })
		c.signal("entry-b", syscall.SIGCONT)
	})
	c.checkBookings(report)
	if after := c.madeAt("plain-b"); after != before {
		t.Errorf("plain-b made %d bookings after it was out", after-before)
	}
	c.await("entry-b holds the change and is ready", func() bool {
		record, err := c.record("entry-b")
		return err == nil && record.Generation == 2 && c.ready("entry-b")
	})
}

// TestRelaunchesRevertNoGeneration kills and relaunches nodes while generations are published, and watches every
// life of every node.
func TestRelaunchesRevertNoGeneration(t *testing.T) {
	c := newPathCluster(t)
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
		_, err := c.operate(awaitLimit, func(ctx context.Context, operator *operate.Operator) error { return operator.SetDomain(ctx, "b", out) })
		c.must(err)
		watch()
		c.relaunch(id)
		c.await("all nodes hold the head and are ready", func() bool {
			watch()
			return c.allHold(core.Generation(2 + i))
		})
	}
}

func (c *cluster) allHold(generation core.Generation) bool {
	for id := range c.nodes {
		record, err := c.record(id)
		if err != nil || record.Generation != generation || record.Phase != wire.PhaseReady {
			return false
		}
	}
	return true
}
