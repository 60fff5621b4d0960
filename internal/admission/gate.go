// Package admission bounds what an endpoint bears at once. The agent owns the limit, since no entry sees what the
// others send. A limiter finds the limit, a short queue holds what is above it, shares keep one workspace from
// starving the others, and a reducer puts them together; the gate lets requests wait for the reducer's verdicts.
package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Bounds are the declared limits of an endpoint, in requests.
type Bounds struct {
	Cold  int // at once, after a load or an unexplained restart of the back end
	Max   int // at once, when warm
	Queue int // that may wait
}

// Ticket says who asks for admission.
type Ticket struct {
	Workspace core.Workspace
	Priority  int // higher goes first
	Deadline  time.Time
}

// Gate admits requests up to a limit that starts cold and grows while the endpoint's service time holds. It is safe
// for concurrent use.
type Gate struct {
	start time.Time

	mu          sync.Mutex
	state       *State
	pending     map[uint64]chan Decision
	nextID      uint64
	incarnation string
}

// NewGate returns a gate that admits nothing until bounds are set.
func NewGate() *Gate {
	return &Gate{start: time.Now(), state: NewState(), pending: make(map[uint64]chan Decision)}
}

// Enter admits the request, now or after it has waited in the queue, or refuses it with an error that says why it did
// not and will not run. Leave must follow an admission.
func (g *Gate) Enter(ctx context.Context, ticket Ticket) error {
	id, decision := g.submit(ticket)
	select {
	case decided := <-decision:
		return g.toError(decided)
	default:
	}
	ctx, cancel := context.WithDeadline(ctx, ticket.Deadline)
	defer cancel()
	select {
	case decided := <-decision:
		return g.toError(decided)
	case <-ctx.Done():
	}
	g.step(RequestWithdrawn{ID: id}) // the verdict may have come before it
	return g.toError(<-decision)
}

func (g *Gate) submit(ticket Ticket) (uint64, <-chan Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	decision := make(chan Decision, 1)
	g.pending[g.nextID] = decision
	g.apply(RequestArrived{
		Now:       time.Since(g.start),
		ID:        g.nextID,
		Workspace: ticket.Workspace,
		Priority:  ticket.Priority,
		Deadline:  ticket.Deadline.Sub(g.start),
	})
	return g.nextID, decision
}

func (g *Gate) step(event Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(event)
}

func (g *Gate) apply(event Event) {
	for _, decision := range g.state.Step(event) {
		g.pending[decision.ID] <- decision
		delete(g.pending, decision.ID)
	}
}

func (g *Gate) toError(decision Decision) error {
	if decision.Reason == Admitted {
		return nil
	}
	load := g.Load()
	return refusalError(decision.Reason, load.Running+load.Queued, load.Limit, rand.Uint64())
}

// Leave ends an admitted request. Held says that its answer was whole.
func (g *Gate) Leave(complete bool) {
	outcome := Incomplete
	if complete {
		outcome = Complete
	}
	g.step(RequestEnded{Now: time.Since(g.start), Outcome: outcome})
}

// Return ends an admitted request that says nothing of the back end: it did not get there, or its caller withdrew it.
func (g *Gate) Return() { g.step(RequestEnded{Now: time.Since(g.start), Outcome: NotMeasured}) }

// Observe takes the time until the back end began an answer.
func (g *Gate) Observe(firstByte time.Duration) { g.step(FirstByteObserved{FirstByte: firstByte}) }

// Failed says that the back end gave no answer, or one that says that it cannot work.
func (g *Gate) Failed() { g.step(BackendFailed{}) }

// SetBounds takes over declared limits. The limit in force stays, within the new bounds.
func (g *Gate) SetBounds(bounds Bounds) {
	g.step(BoundsChanged{Now: time.Since(g.start), Bounds: bounds})
}

// TurnCold brings the limit back to the cold one, after a load or an unexplained restart of the back end.
func (g *Gate) TurnCold() { g.step(BackendTurnedCold{}) }

// SawLife takes the life that the back end reports. The gate turns cold when it differs from the last one.
func (g *Gate) SawLife(incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.incarnation != "" && g.incarnation != incarnation {
		g.apply(BackendTurnedCold{})
	}
	g.incarnation = incarnation
}

// Load reports the load.
func (g *Gate) Load() wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.Load{Running: g.state.running, Queued: g.state.queue.len(), Limit: g.state.limiter.limit}
}
