package systemtest

import (
	"context"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/load"
	"github.com/lovageglade/lovageglade/internal/operate"
)

// setDomain takes a failure domain out of service or back in, waits until every host has confirmed, and returns the
// output.
func (c *cluster) setDomain(name core.FailureDomain, out bool) string {
	c.t.Helper()
	printed, err := c.runOperator(awaitTimeout, func(ctx context.Context, operator *operate.Operator) error {
		if err := operator.SetDomain(ctx, name, out); err != nil {
			return err
		}
		return operator.WaitDomain(ctx, name, out)
	})
	c.must(err)
	return printed
}

// checkAllSucceeded checks that every answer was complete and that no booking was made twice.
func (c *cluster) checkAllSucceeded(report load.Report) {
	c.t.Helper()
	if report.Completed != report.Sent {
		c.t.Errorf("not every answer was complete: %+v", report)
	}
	c.checkBookings(report)
}

func TestTakingDomainOutAndBackFailsNoRequest(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()
	c.put(c.backendAddr("plain-b"), "/faults", `{"delay_ms":100}`)
	report := c.runDuringLoad(c.loadOptions(4*time.Second), func() {
		c.setDomain("b", true)
		before := len(c.bookingCounts())
		c.checkNoBookings("plain-b", 500*time.Millisecond)
		if len(c.bookingCounts()) == before {
			t.Error("no booking was made anywhere while b was out of service")
		}
		c.setDomain("b", false)
	})
	c.checkAllSucceeded(report)
}

// checkNoBookings runs a load and checks that the given plain service makes no booking meanwhile.
func (c *cluster) checkNoBookings(id core.HostID, duration time.Duration) {
	c.t.Helper()
	before := c.bookingCountAt(id)
	c.checkAllSucceeded(load.Run(context.Background(), c.loadOptions(duration)))
	if after := c.bookingCountAt(id); after != before {
		c.t.Errorf("%s made %d bookings after its failure domain was confirmed out of service", id, after-before)
	}
}

// TestDomainOutReachesEntryWithoutPlatform checks that an entry that cannot reach the platform learns of the change
// from its peers.
func TestDomainOutReachesEntryWithoutPlatform(t *testing.T) {
	c := newPartitionedCluster(t)
	printed := c.setDomain("b", true)
	t.Log(printed)
	c.checkNoBookings("plain-b", 500*time.Millisecond)
}

func TestReturningEndpointsHaveTheColdLimit(t *testing.T) {
	limits := config.Limits{Cold: 2, Max: 32, Queue: 32}
	c := newSlowCluster(t, limits)
	c.await("the limit of slow-b has risen above the cold limit", func() bool {
		load.Run(context.Background(), c.slowLoad(30, 500*time.Millisecond))
		return c.reportedLoad("slow-b").Limit > limits.Cold
	})
	c.setDomain("b", true)
	c.setDomain("b", false)
	if limit := c.reportedLoad("slow-b").Limit; limit != limits.Cold {
		t.Errorf("slow-b returned with the limit %d", limit)
	}
}

func TestDomainOutNamesHostsThatDoNotConfirm(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.suspend("entry-a")
	_, err := c.runOperator(4*time.Second, func(ctx context.Context, operator *operate.Operator) error {
		if err := operator.SetDomain(ctx, "b", true); err != nil {
			return err
		}
		return operator.WaitDomain(ctx, "b", true)
	})
	t.Log(err)
	if !fault.Is(err, fault.DeadlinePassed) || !containsAll(err.Error(), "b is not yet out at", "entry-a (gave no answer)") {
		t.Fatalf("the host that did not confirm is not named: %v", err)
	}
}
