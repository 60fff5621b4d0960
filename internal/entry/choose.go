package entry

import (
	"math/rand/v2"

	"github.com/joomcode/errorx"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/retry"
	"github.com/lovageglade/lovageglade/internal/routing"
)

// pick chooses the endpoint of the next attempt. Each attempt after the first draws on the service's retry budget.
func (f *flow) pick() (attemptTarget, error) {
	if !f.entry.node.Fresh() {
		return attemptTarget{}, notFresh()
	}
	service := f.entry.index().Service(f.request.service.Name)
	if !f.mayAttempt() {
		return attemptTarget{}, f.comeBack(service, fault.Overloaded, "too many requests of "+string(f.request.service.Name)+" are being retried")
	}
	chosen := service.Pick(routing.Query{
		Exclude: f.excluded,
		Prefix:  f.request.prefix,
		Seed:    rand.Uint64(),
		Now:     f.entry.inFlight.now(),
	})
	if chosen == nil {
		return attemptTarget{}, f.comeBack(service, fault.NoEndpoint, "no endpoint of "+string(f.request.service.Name)+" takes the request now")
	}
	return attemptTarget{id: core.AttemptID(core.NewID()), endpoint: chosen.Candidate}, nil
}

// mayAttempt counts the attempt in the retry budget of its service, and tells whether it may be made.
func (f *flow) mayAttempt() bool {
	budget := f.entry.inFlight.budgets.Get(f.request.service.Name)
	if len(f.excluded) > 0 {
		return budget.TryWithdraw()
	}
	budget.Deposit()
	return true
}

// comeBack returns a refusal whose Retry-After spreads callers by the load of the service.
func (f *flow) comeBack(service *routing.Service, kind *errorx.Type, message string) error {
	load, limit := service.LoadAndLimit(f.entry.inFlight.now())
	err := fault.New(kind, message, "come back after the time in Retry-After")
	return fault.WithRetryAfter(err, retry.RetryAfterSeconds(int(load), int(limit), rand.Uint64()))
}

// index returns the index of the endpoints in service.
func (e *Entry) index() *routing.Index {
	here := routing.Locality{FailureDomain: e.settings.Host.FailureDomain, Region: e.settings.Host.Region}
	return e.inFlight.index.of(e.node.View(), here, e.inFlight.now())
}
