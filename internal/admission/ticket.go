package admission

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// Refusal is the error for a request with a known demand that was refused. The request has not run.
type Refusal struct {
	Reason   Reason
	Forecast time.Duration // time until a request of the same rank is expected to start; 0 if unknown
	cause    error
}

// Error implements error.
func (r *Refusal) Error() string { return r.cause.Error() }

// Unwrap returns the error of a kind in package fault.
func (r *Refusal) Unwrap() error { return r.cause }

// Ticket is an admitted request with a known demand. It must be ended exactly once.
type Ticket struct {
	gate   *Gate
	id     uint64
	Waited time.Duration // time between arrival and admission
}

// AcquireRanked admits a request with a known demand, whose times are on the gate's clock. Otherwise it returns a *Refusal.
func (g *Gate) AcquireRanked(ctx context.Context, request RankedRequest) (*Ticket, error) {
	arrived := g.Now()
	decision := g.await(ctx, g.start.Add(request.latestStart(arrived)), RequestArrived{Ranked: &request})
	if decision.Reason != Admitted {
		return nil, &Refusal{Reason: decision.Reason, Forecast: decision.Forecast, cause: rankedError(decision.Reason)}
	}
	return &Ticket{gate: g, id: decision.ID, Waited: g.Now() - arrived}, nil
}

func rankedError(reason Reason) error {
	if reason == NoRoomInTime {
		return fault.New(fault.Overloaded, "the endpoint cannot start the request in time", "send it to another endpoint or come back after the forecast")
	}
	return refusalError(reason, 0, 0, 0)
}

// RecordFirstEvent records the first event of the answer.
func (t *Ticket) RecordFirstEvent() {
	t.gate.step(FirstEventArrived{Now: t.gate.Now(), ID: t.id})
}

// Release ends the request. The argument tells whether its answer was complete.
func (t *Ticket) Release(complete bool) {
	outcome := Incomplete
	if complete {
		outcome = Complete
	}
	t.gate.step(RequestEnded{Now: t.gate.Now(), ID: t.id, Outcome: outcome})
}

// ReleaseUnmeasured ends the request without any effect on the limit, such as one that did not reach the endpoint.
func (t *Ticket) ReleaseUnmeasured() {
	t.gate.step(RequestEnded{Now: t.gate.Now(), ID: t.id, Outcome: NotMeasured})
}
