package entry

import (
	"math/rand/v2"

	"github.com/joomcode/errorx"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/retry"
	"github.com/lovageglade/lovageglade/internal/routing"
)

// pick chooses the endpoint for the next attempt. Every attempt after the first uses the retry budget of the
// service.
func (f *forwarder) pick() (plannedAttempt, error) {
	if !f.entry.node.Fresh() {
		return plannedAttempt{}, errConfigurationNotFresh()
	}
	service := f.entry.index().Service(f.request.service.Name)
	if !f.allowAttempt() {
		return plannedAttempt{}, f.errRetryLater(service, fault.Overloaded, "too many requests of "+string(f.request.service.Name)+" are being retried")
	}
	chosen := service.Pick(routing.Query{
		Exclude: f.excluded,
		Prefix:  f.request.prefixHash,
		Seed:    rand.Uint64(),
		Now:     f.entry.routingState.now(),
	})
	if chosen == nil {
		return plannedAttempt{}, f.errRetryLater(service, fault.NoEndpoint, "no endpoint of "+string(f.request.service.Name)+" takes the request now")
	}
	return plannedAttempt{id: core.AttemptID(core.NewID()), endpoint: chosen.Candidate}, nil
}

// allowAttempt reports whether the retry budget of the service permits another attempt, and charges it. A first
// attempt is always allowed and adds to the budget.
func (f *forwarder) allowAttempt() bool {
	budget := f.entry.routingState.budgets.Get(f.request.service.Name)
	if len(f.excluded) > 0 {
		return budget.TryWithdraw()
	}
	budget.Deposit()
	return true
}

// errRetryLater returns a refusal whose Retry-After grows with the load of the service and is jittered, so that
// callers do not all retry at the same time.
func (f *forwarder) errRetryLater(service *routing.Service, kind *errorx.Type, message string) error {
	load, limit := service.LoadAndLimit(f.entry.routingState.now())
	err := fault.New(kind, message, "retry after the time in Retry-After")
	return fault.WithRetryAfter(err, retry.RetryAfterSeconds(int(load), int(limit), rand.Uint64()))
}

// index returns the index of the endpoints in the latest view.
func (e *Entry) index() *routing.Index {
	locality := routing.Locality{FailureDomain: e.settings.Host.FailureDomain, Region: e.settings.Host.Region}
	return e.routingState.indexCache.forView(e.node.View(), locality, e.routingState.now())
}
