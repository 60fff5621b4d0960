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

	mu      sync.Mutex
	state   *State
	waiting map[uint64]chan Verdict
	nextID  uint64
	life    string
}

// NewGate returns a gate that admits nothing until bounds are set.
func NewGate() *Gate {
	return &Gate{start: time.Now(), state: NewState(), waiting: make(map[uint64]chan Verdict)}
}

// Enter admits the request, now or after it has waited in the queue, or refuses it with an error that says why it did
// not and will not run. Leave must follow an admission.
func (g *Gate) Enter(ctx context.Context, ticket Ticket) error {
	id, verdict := g.offer(ticket)
	select {
	case decided := <-verdict:
		return g.refusal(decided)
	default:
	}
	ctx, cancel := context.WithDeadline(ctx, ticket.Deadline)
	defer cancel()
	select {
	case decided := <-verdict:
		return g.refusal(decided)
	case <-ctx.Done():
	}
	g.step(Withdrawn{ID: id}) // the verdict may have come before it
	return g.refusal(<-verdict)
}

func (g *Gate) offer(ticket Ticket) (uint64, <-chan Verdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	verdict := make(chan Verdict, 1)
	g.waiting[g.nextID] = verdict
	g.apply(Offered{
		Now:       time.Since(g.start),
		ID:        g.nextID,
		Workspace: ticket.Workspace,
		Priority:  ticket.Priority,
		Deadline:  ticket.Deadline.Sub(g.start),
	})
	return g.nextID, verdict
}

func (g *Gate) step(event Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(event)
}

func (g *Gate) apply(event Event) {
	for _, verdict := range g.state.Step(event) {
		g.waiting[verdict.ID] <- verdict
		delete(g.waiting, verdict.ID)
	}
}

func (g *Gate) refusal(verdict Verdict) error {
	if verdict.Reason == Admitted {
		return nil
	}
	load := g.Load()
	return refuse(verdict.Reason, load.Running+load.Queued, load.Limit, rand.Uint64())
}

// Leave ends an admitted request. Held says that its answer was whole.
func (g *Gate) Leave(held bool) {
	end := Broken
	if held {
		end = Whole
	}
	g.step(Left{Now: time.Since(g.start), End: end})
}

// Return ends an admitted request that says nothing of the back end: it did not get there, or its caller withdrew it.
func (g *Gate) Return() { g.step(Left{Now: time.Since(g.start), End: Unused}) }

// Observe takes the time until the back end began an answer.
func (g *Gate) Observe(firstByte time.Duration) { g.step(Observed{FirstByte: firstByte}) }

// Failed says that the back end gave no answer, or one that says that it cannot work.
func (g *Gate) Failed() { g.step(Failed{}) }

// SetBounds takes over declared limits. The limit in force stays, within the new bounds.
func (g *Gate) SetBounds(bounds Bounds) {
	g.step(BoundsChanged{Now: time.Since(g.start), Bounds: bounds})
}

// TurnCold brings the limit back to the cold one, after a load or an unexplained restart of the back end.
func (g *Gate) TurnCold() { g.step(TurnedCold{}) }

// SawLife takes the life that the back end reports. The gate turns cold when it differs from the last one.
func (g *Gate) SawLife(life string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.life != "" && g.life != life {
		g.apply(TurnedCold{})
	}
	g.life = life
}

// Load reports the load.
func (g *Gate) Load() wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.Load{Running: g.state.running, Queued: g.state.queue.len(), Limit: g.state.limiter.limit}
}
