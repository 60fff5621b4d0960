package entry

import (
	"math/rand/v2"

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
	if err := f.spend(); err != nil {
		return attemptTarget{}, err
	}
	chosen := f.entry.index().Service(f.request.service.Name).Pick(routing.Query{
		Exclude: f.excluded,
		Prefix:  f.request.prefix,
		Seed:    rand.Uint64(),
		Now:     f.entry.inFlight.now(),
	})
	if chosen == nil {
		return attemptTarget{}, f.noEndpoint()
	}
	return attemptTarget{id: core.AttemptID(core.NewID()), endpoint: chosen.Candidate}, nil
}

// spend counts the attempt in the retry budget of its service.
func (f *flow) spend() error {
	budget := f.entry.inFlight.budgets.Of(f.request.service.Name)
	if len(f.excluded) == 0 {
		budget.Earn()
		return nil
	}
	if budget.Spend() {
		return nil
	}
	err := fault.New(fault.Overloaded, "too many requests of "+string(f.request.service.Name)+" are being retried", "come back after the time in Retry-After")
	return fault.WithRetryAfter(err, retry.After(1, 1, rand.Uint64()))
}

func (f *flow) noEndpoint() error {
	err := fault.New(fault.NoEndpoint, "no endpoint of "+string(f.request.service.Name)+" takes the request now", "come back after the time in Retry-After")
	return fault.WithRetryAfter(err, retry.After(1, 1, rand.Uint64()))
}

// index returns the index of the latest view. The first request that finds a new view builds it; requests that come
// meanwhile wait for it, so that none is sent by a view that no longer holds.
func (e *Entry) index() *routing.Index {
	view := e.node.View()
	if index := e.inFlight.index.Load(); index != nil && index.View == view {
		return index
	}
	e.inFlight.building.Lock()
	defer e.inFlight.building.Unlock()
	view = e.node.View()
	if index := e.inFlight.index.Load(); index != nil && index.View == view {
		return index
	}
	here := routing.Place{FailureDomain: e.settings.Host.FailureDomain, Region: e.settings.Host.Region}
	index := routing.Build(view, here, e.inFlight.meters)
	e.inFlight.index.Store(index)
	return index
}
