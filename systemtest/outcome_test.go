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

// bookingCounts returns, for each booking, how often it was made, summed over all plain services.
func (c *cluster) bookingCounts() map[string]int {
	c.t.Helper()
	made := make(map[string]int)
	for id := range c.plainServices {
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

// checkBookings compares the answers to callers with the bookings that were made.
func (c *cluster) checkBookings(report load.Report) {
	c.t.Helper()
	made := c.bookingCounts()
	for id, count := range made {
		if count > 1 {
			c.t.Errorf("booking %s was made %d times", id, count)
		}
	}
	for _, id := range report.BookedIDs {
		if made[id] != 1 {
			c.t.Errorf("booking %s was confirmed but made %d times", id, made[id])
		}
	}
	for _, id := range report.RefusedIDs {
		if made[id] != 0 {
			c.t.Errorf("booking %s was refused as not run but was made", id)
		}
	}
}

// runDuringLoad runs the action while the load runs, and returns the load's report.
func (c *cluster) runDuringLoad(options load.Options, action func()) load.Report {
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(context.Background(), options) }()
	action()
	return <-done
}

func TestKilledAgentDuplicatesNoBooking(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()
	c.put(c.backendAddr("plain-a"), "/faults", `{"delay_ms":200}`)
	report := c.runDuringLoad(c.loadOptions(2*time.Second), func() {
		c.await("plain-a has made a booking whose answer is outstanding", func() bool { return len(c.bookingCounts()) > 0 })
		c.kill("plain-a")
		c.restart("plain-a")
		c.await("plain-a is ready again", func() bool {
			record, err := c.record("plain-a")
			return err == nil && record.Phase == wire.PhaseReady
		})
	})
	c.checkBookings(report)
}

func TestGracefulShutdownCutsNoRequest(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()
	c.put(c.backendAddr("plain-a"), "/faults", `{"delay_ms":200}`)
	for _, id := range []core.HostID{"plain-a", "runner-b"} {
		report := c.runDuringLoad(c.loadOptions(time.Second), func() {
			c.signal(id, syscall.SIGTERM)
			<-c.nodes[id].done
		})
		if report.Unknown != 0 || report.Truncated != 0 || report.NotRun != 0 {
			t.Errorf("stopping %s cut requests: %+v", id, report)
		}
		c.checkBookings(report)
		c.restart(id)
		c.awaitAnswers()
	}
}
