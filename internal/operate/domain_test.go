package operate

import (
	"context"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
)

// TestConcurrentSetDomainCallsAllApply takes three failure domains out of service and brings them back, concurrently and
// in several rounds. No change may be lost to a conflict with another.
func TestConcurrentSetDomainCallsAllApply(t *testing.T) {
	operator := newTestOperator(t, 0)
	names := []core.FailureDomain{"a", "b", "c"}
	var set config.Set
	for _, name := range names {
		set.FailureDomains = append(set.FailureDomains, config.FailureDomain{Name: name, Region: "r"})
	}
	if err := operator.publish(t.Context(), set); err != nil {
		t.Fatal(err)
	}
	for round := range 20 {
		out := round%2 == 0
		var calls conc.WaitGroup
		for _, name := range names {
			calls.Go(func() {
				if err := operator.SetDomain(context.Background(), name, out); err != nil {
					t.Errorf("round %d: %s: %v", round, name, err)
				}
			})
		}
		calls.Wait()
		snapshot, err := operator.currentSnapshot(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if snapshot.IsDomainOut(name) != out {
				t.Errorf("round %d: %s does not have the requested state", round, name)
			}
		}
	}
}
