// Package admission bounds what an endpoint bears at once. The agent owns the limit, since no entry sees what the
// others send.
package admission

import (
	"sync"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Bounds are the declared limits of an endpoint, in requests at once.
type Bounds struct {
	Cold int
	Max  int
}

// growEvery is the number of answers within the limit after which a warming endpoint may run one request more.
const growEvery = 4

// Gate admits requests up to a limit that starts cold and grows while the endpoint answers. It is safe for
// concurrent use.
type Gate struct {
	mu      sync.Mutex
	bounds  Bounds
	limit   int
	running int
	answers int
}

// NewGate returns a gate that admits nothing until bounds are set.
func NewGate() *Gate { return &Gate{} }

// SetBounds takes over declared limits. A changed cold limit makes the endpoint cold.
func (g *Gate) SetBounds(bounds Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bounds == bounds {
		return
	}
	g.bounds = bounds
	g.limit = bounds.Cold
}

// TurnCold brings the limit back to the cold one, after a load or an unexplained restart of the back end.
func (g *Gate) TurnCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = g.bounds.Cold
	g.answers = 0
}

// Enter admits a request or refuses it at once with an error of kind Overloaded. Leave must follow an admission.
func (g *Gate) Enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running >= g.limit {
		err := fault.New(fault.Overloaded, "the endpoint bears no more now", "send it to another endpoint or come back later")
		return fault.WithRetryAfter(err, 1)
	}
	g.running++
	return nil
}

// Leave ends an admitted request. Held says that its service time held, so that the limit may grow.
func (g *Gate) Leave(held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if !held {
		return
	}
	g.answers++
	if g.answers%growEvery == 0 && g.limit < g.bounds.Max {
		g.limit++
	}
}

// Load reports the load.
func (g *Gate) Load() wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.Load{Running: g.running, Limit: g.limit}
}
