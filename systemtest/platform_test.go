package systemtest

import (
	"context"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/load"
)

// TestPlatformOutageStopsNoModelRequest sends model requests while the platform is down, then while it is slow, then
// after it has recovered.
func TestPlatformOutageStopsNoModelRequest(t *testing.T) {
	c := newTwoDomainCluster(t)
	c.awaitAnswers()
	for _, faults := range []string{`{"down":true}`, `{"delay_ms":2000}`, `{}`} {
		c.put(c.platformAddr, "/faults", faults)
		options := c.loadOptions(time.Second)
		options.BookingShare = 0
		report := load.Run(context.Background(), options)
		if report.Completed != report.Sent {
			t.Errorf("with the platform faults %s, not every answer was complete: %+v", faults, report)
		}
	}
}
