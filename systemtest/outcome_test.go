package systemtest

import (
	"context"
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/load"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// made returns how often each booking was made at all plain services.
func (c *cluster) made() map[string]int {
	c.t.Helper()
	made := make(map[string]int)
	for id := range c.plains {
		answer, err := http.Get("http://" + c.backendAddr(id) + "/bookings")
		c.must(err)
		part := make(map[string]int)
		c.must(json.NewDecoder(answer.Body).Decode(&part))
		_ = answer.Body.Close()
		for booking, count := range part {
			made[booking] += count
		}
	}
	return made
}

// checkBookings checks what callers were told against the bookings that were made.
func (c *cluster) checkBookings(report load.Report) {
	c.t.Helper()
	made := c.made()
	for id, count := range made {
		if count > 1 {
			c.t.Errorf("booking %s was made %d times", id, count)
		}
	}
	for _, id := range report.BookedIDs {
		if made[id] != 1 {
			c.t.Errorf("booking %s was confirmed and made %d times", id, made[id])
		}
	}
	for _, id := range report.RefusedIDs {
		if made[id] != 0 {
			c.t.Errorf("booking %s was refused as not run and made", id)
		}
	}
}

// during runs the load and meanwhile the action.
func (c *cluster) during(options load.Options, action func()) load.Report {
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(context.Background(), options) }()
	action()
	return <-done
}

func TestKilledAgentDoublesNoBooking(t *testing.T) {
	c := newPathCluster(t)
	c.warm()
	c.put(c.backendAddr("plain-a"), "/faults", `{"delay_ms":200}`)
	report := c.during(c.loadOptions(2*time.Second), func() {
		c.await("a booking is under way at plain-a", func() bool { return len(c.made()) > 0 })
		c.kill("plain-a")
		c.relaunch("plain-a")
		c.await("plain-a is ready again", func() bool {
			record, err := c.record("plain-a")
			return err == nil && record.Phase == wire.PhaseReady
		})
	})
	c.checkBookings(report)
}

func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	c := newPathCluster(t)
	c.warm()
	c.put(c.backendAddr("plain-a"), "/faults", `{"delay_ms":200}`)
	for _, id := range []core.HostID{"plain-a", "runner-b"} {
		report := c.during(c.loadOptions(time.Second), func() {
			c.signal(id, syscall.SIGTERM)
			<-c.nodes[id].done
		})
		if report.Unknown != 0 || report.Truncated != 0 || report.NotRun != 0 {
			t.Errorf("stopping %s cut requests: %+v", id, report)
		}
		c.checkBookings(report)
		c.relaunch(id)
		c.warm()
	}
}
