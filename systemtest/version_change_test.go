package systemtest

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/wire"
)

// TestVersionChangeRefusesNoRequest changes the version of three runners whose engines take three seconds to load it.
// No request may fail meanwhile.
func TestVersionChangeRefusesNoRequest(t *testing.T) {
	c := newWeightsCluster(t)
	c.applyConfiguration()
	for _, id := range weightsRunners {
		c.put(c.backendAddr(id), "/faults", `{"load_delay_ms":3000}`)
	}
	report := c.runDuringLoad(c.modelLoad(5, 14*time.Second), func() {
		c.publishVersion("v2", len(weightsRunners))
		c.awaitPhase("v2", wire.VersionServing, weightsRunners...)
	})
	if report.Completed != report.Sent {
		t.Errorf("requests failed during the version change: %+v", report)
	}
}
