package systemtest

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/wire"
)

// TestVersionChangeRefusesNoRequest changes the version of three runners whose engines take three seconds to load it.
func TestVersionChangeRefusesNoRequest(t *testing.T) {
	c := newWeightCluster(t)
	c.apply()
	for _, id := range weightRunners {
		c.put(c.backendAddr(id), "/faults", `{"load_delay_ms":3000}`)
	}
	report := c.during(c.modelLoad(5, 14*time.Second), func() {
		c.ask("v2", len(weightRunners))
		c.awaitPhase("v2", wire.VersionServing, weightRunners...)
	})
	if report.Completed != report.Sent {
		t.Errorf("the change of the version refused or cut requests: %+v", report)
	}
}
