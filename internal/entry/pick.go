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

// allowAttempt counts the attempt in the retry budget of its service, and tells whether it may be made.
func (f *forwarder) allowAttempt() bool {
	budget := f.entry.routingState.budgets.Of(f.request.service.Name)
	if len(f.excluded) > 0 {
		return budget.Spend()
	}
	budget.Earn()
	return true
}

// errRetryLater returns a refusal whose Retry-After spreads callers by the load of the service.
func (f *forwarder) errRetryLater(service *routing.Service, kind *errorx.Type, message string) error {
	load, limit := service.Pressure(f.entry.routingState.now())
	err := fault.New(kind, message, "come back after the time in Retry-After")
	return fault.WithRetryAfter(err, retry.After(int(load), int(limit), rand.Uint64()))
}

// index returns the index of the endpoints in service.
func (e *Entry) index() *routing.Index {
	locality := routing.Place{FailureDomain: e.settings.Host.FailureDomain, Region: e.settings.Host.Region}
	return e.routingState.index.forView(e.node.View(), locality, e.routingState.now())
}
