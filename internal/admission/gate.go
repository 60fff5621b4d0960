// Package admission limits the load of one endpoint. The agent or sidecar of the endpoint enforces the limit, because
// no single entry or gateway sees the requests of the others.
//
// An adaptive limiter sets the number of concurrent requests, a short queue holds requests above the limit, and fair
// sharing keeps one workspace from starving the others. State combines them as a deterministic reducer of events, and
// Gate lets concurrent requests wait for its decisions. Further limits bound the request rate of a cold endpoint and
// the prompts that an engine has to process.
package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Bounds are the configured limits of an endpoint, in requests.
type Bounds struct {
	Cold  int // concurrent requests when cold, such as after weights were loaded or the back end restarted
	Max   int // concurrent requests when warm
	Queue int // waiting requests without a rank

	MemoryTokens int // prompt and answer tokens of the running requests together; 0 if unknown
}

// Request describes a request that asks for admission.
type Request struct {
	Workspace core.Workspace
	Priority  int // higher values are admitted first
	Deadline  time.Time
}

// Gate admits requests up to an adaptive concurrency limit. The limit starts at the cold limit and grows while
// first-byte times remain stable. It is safe for concurrent use.
type Gate struct {
	start time.Time

	mu          sync.Mutex
	state       *State
	pending     map[uint64]chan Decision
	nextID      uint64
	incarnation string
}

// NewGate returns a gate that admits nothing until SetBounds is called. Requests with a known demand start only if all
// constraints admit them. The gate calls the constraints under its lock.
func NewGate(constraints ...Constraint) *Gate {
	return &Gate{start: time.Now(), state: NewState(constraints...), pending: make(map[uint64]chan Decision)}
}

// Now returns the time on the clock of the gate's events.
func (g *Gate) Now() time.Duration { return time.Since(g.start) }

// Acquire admits the request, at once or after it has waited in the queue. Otherwise it returns an error that tells why
// the request was refused; such a request has not run. The caller must end each admitted request exactly once.
func (g *Gate) Acquire(ctx context.Context, request Request) error {
	return g.toError(g.await(ctx, request.Deadline, RequestArrived{
		Workspace: request.Workspace,
		Priority:  request.Priority,
		Deadline:  request.Deadline.Sub(g.start),
	}))
}

// await sends the request to the state and waits for its only decision. If the context ends or the deadline passes before, the
// request is withdrawn.
func (g *Gate) await(ctx context.Context, deadline time.Time, request RequestArrived) Decision {
	id, decision := g.submit(request)
	select {
	case decided := <-decision:
		return decided
	default:
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case decided := <-decision:
		return decided
	case <-ctx.Done():
	}
	g.step(RequestWithdrawn{Now: g.Now(), ID: id}) // no effect if the request was decided in the meantime
	return <-decision
}

// submit sends the request to the state with a new ID. It returns the ID and a channel that gets the only decision.
func (g *Gate) submit(request RequestArrived) (uint64, <-chan Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	decision := make(chan Decision, 1)
	g.pending[g.nextID] = decision
	request.Now, request.ID = g.Now(), g.nextID
	g.apply(request)
	return g.nextID, decision
}

// step applies one event under the lock.
func (g *Gate) step(event Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(event)
}

// apply applies one event and delivers the decisions that follow from it. The caller holds g.mu.
func (g *Gate) apply(event Event) {
	for _, decision := range g.state.Step(event) {
		g.pending[decision.ID] <- decision
		delete(g.pending, decision.ID)
	}
}

// toError returns nil for an admission, else the error for the caller.
func (g *Gate) toError(decision Decision) error {
	if decision.Reason == Admitted {
		return nil
	}
	load := g.Load()
	return refusalError(decision.Reason, load.Running+load.Queued, load.Limit, rand.Uint64())
}

// Release ends an admitted request. The argument tells whether its answer was complete.
func (g *Gate) Release(complete bool) {
	outcome := Incomplete
	if complete {
		outcome = Complete
	}
	g.step(RequestEnded{Now: time.Since(g.start), Outcome: outcome})
}

// ReleaseUnmeasured ends an admitted request without any effect on the limit: it did not reach the back end, or its caller
// cancelled it.
func (g *Gate) ReleaseUnmeasured() {
	g.step(RequestEnded{Now: time.Since(g.start), Outcome: NotMeasured})
}

// RecordFirstByte records the time until the first byte of an answer.
func (g *Gate) RecordFirstByte(firstByte time.Duration) {
	g.step(FirstByteObserved{FirstByte: firstByte})
}

// RecordFailure records that the back end did not answer, or answered with a server error.
func (g *Gate) RecordFailure() { g.step(BackendFailed{}) }

// SetBounds changes the configured limits. The current limit is kept if it is within the new bounds.
func (g *Gate) SetBounds(bounds Bounds) {
	g.step(BoundsChanged{Now: time.Since(g.start), Bounds: bounds})
}

// ResetToCold resets the limit to the cold limit, for example after weights were loaded or the back end restarted.
func (g *Gate) ResetToCold() { g.step(BackendTurnedCold{}) }

// ObserveIncarnation records the incarnation that the back end reports. If it has changed, the back end has restarted and
// the limit is reset to the cold limit.
func (g *Gate) ObserveIncarnation(incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.incarnation != "" && g.incarnation != incarnation {
		g.apply(BackendTurnedCold{})
	}
	g.incarnation = incarnation
}

// Load returns the numbers of running and queued requests and the current limit.
func (g *Gate) Load() wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.Load{Running: g.state.running, Queued: g.state.queue.len() + g.state.ranked.queue.len(), Limit: g.state.limiter.limit}
}
