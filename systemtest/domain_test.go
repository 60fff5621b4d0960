package systemtest

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/load"
	"github.com/lovageglade/lovageglade/internal/operate"
)

// setDomain takes a failure domain out or back and waits until every host has confirmed.
func (c *cluster) setDomain(name core.FailureDomain, out bool) string {
	c.t.Helper()
	printed, err := c.operate(awaitLimit, func(ctx context.Context, operator *operate.Operator) error {
		if err := operator.SetDomain(ctx, name, out); err != nil {
			return err
		}
		return operator.WaitDomain(ctx, name, out)
	})
	c.must(err)
	return printed
}

// checkNoneFailed checks that every request was answered whole and no booking was made twice.
func (c *cluster) checkNoneFailed(report load.Report) {
	c.t.Helper()
	if report.Completed != report.Sent {
		c.t.Errorf("not every request was answered whole: %+v", report)
	}
	c.checkBookings(report)
}

func TestDomainOutAndBackFailsNoRequest(t *testing.T) {
	c := newPathCluster(t)
	c.warm()
	c.put(c.backendAddr("plain-b"), "/faults", `{"delay_ms":100}`)
	report := c.during(c.loadOptions(4*time.Second), func() {
		c.setDomain("b", true)
		before := len(c.made())
		c.checkIdle("plain-b", 500*time.Millisecond)
		if len(c.made()) == before {
			t.Error("no booking was made anywhere while b was out")
		}
		c.setDomain("b", false)
	})
	c.checkNoneFailed(report)
}

// checkIdle checks that a plain service gets no booking during a load of this length that starts now.
func (c *cluster) checkIdle(id core.HostID, duration time.Duration) {
	c.t.Helper()
	before := c.madeAt(id)
	c.checkNoneFailed(load.Run(context.Background(), c.loadOptions(duration)))
	if after := c.madeAt(id); after != before {
		c.t.Errorf("%s made %d bookings after its failure domain was out everywhere", id, after-before)
	}
}

// TestDomainOutReachesEntryWithoutPlatform cuts an entry off from the platform: its peers tell it.
func TestDomainOutReachesEntryWithoutPlatform(t *testing.T) {
	c := newCutCluster(t)
	printed := c.setDomain("b", true)
	t.Log(printed)
	c.checkIdle("plain-b", 500*time.Millisecond)
}

func TestEndpointsComeBackCold(t *testing.T) {
	limits := config.Limits{Cold: 2, Max: 32, Queue: 32}
	c := newSlowCluster(t, limits)
	c.await("slow-b bears more than when cold", func() bool {
		load.Run(context.Background(), c.slowLoad(30, 500*time.Millisecond))
		return c.loadOf("slow-b").Limit > limits.Cold
	})
	c.setDomain("b", true)
	c.setDomain("b", false)
	if limit := c.loadOf("slow-b").Limit; limit != limits.Cold {
		t.Errorf("slow-b came back with the limit %d", limit)
	}
}

func TestDomainOutNamesHostsThatDoNotConfirm(t *testing.T) {
	c := newPathCluster(t)
	c.signal("entry-a", syscall.SIGSTOP)
	_, err := c.operate(4*time.Second, func(ctx context.Context, operator *operate.Operator) error {
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
