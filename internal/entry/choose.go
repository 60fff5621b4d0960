package entry

import (
	"math/rand/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/routing"
)

// pick chooses the endpoint of the next attempt.
func (f *flow) pick() (attemptTarget, error) {
	view := f.entry.node.View()
	if !f.entry.node.Fresh() {
		return attemptTarget{}, notFresh()
	}
	candidates := routing.Candidates(view, f.request.service, f.request.version)
	f.entry.inFlight.fill(candidates)
	chosen, ok := routing.Pick(candidates, routing.Query{
		Local:   f.entry.settings.Host.FailureDomain,
		Exclude: f.excluded,
		Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if !ok {
		err := fault.New(fault.NoEndpoint, "no endpoint of "+string(f.request.service.Name)+" takes the request now", "come back after the time in Retry-After")
		return attemptTarget{}, fault.WithRetryAfter(err, 1)
	}
	return attemptTarget{id: core.AttemptID(core.NewID()), endpoint: chosen}, nil
}
