package systemtest

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/load"
)

// TestEntryStopsWithoutCuttingStreams stops an entry by SIGTERM while streams run through it. It receives no new
// requests, as if its load balancer had taken it out of rotation.
func TestEntryStopsWithoutCuttingStreams(t *testing.T) {
	c := newWeightsCluster(t)
	c.applyConfiguration()
	done := make(chan load.Report, 1)
	go func() { done <- load.Run(context.Background(), c.modelLoad(1000, 5*time.Millisecond)) }()
	c.await("all streams are running", func() bool {
		running := 0
		for _, id := range weightsRunners {
			running += c.engineState(id).Running
		}
		return running == 5
	})
	c.signal("entry-a", syscall.SIGTERM)
	if report := <-done; report.Completed != 5 {
		t.Errorf("stopping the entry cut streams: %+v", report)
	}
	c.await("the entry exits", func() bool {
		select {
		case <-c.nodes["entry-a"].done:
			return true
		default:
			return false
		}
	})
	if code := c.nodes["entry-a"].command.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the entry exited with code %d", code)
	}
}

// The settings of entry and agent are read at the start only. The default action of SIGHUP ends a process with its open requests.
func TestSIGHUPEndsNeitherEntryNorAgent(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()
	for _, id := range []core.HostID{"entry-a", "runner-a", "plain-a"} {
		c.signal(id, syscall.SIGHUP)
	}
	report := load.Run(context.Background(), c.loadOptions(time.Second))
	if report.Completed != report.Sent {
		t.Errorf("not every answer was complete: %+v", report)
	}
}
