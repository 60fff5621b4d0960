package placement

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

const (
	// refusalMemory is how long an endpoint scores worse after it refused a request because of a change of weights.
	refusalMemory = 300 * time.Millisecond
	// refusalPenalty is added to the score, as a fraction of the slots. The endpoint is then used after all others: it empties
	// before it loads, and would otherwise look like the least loaded one.
	refusalPenalty = 2.0
	// maxForecastMemory bounds the forecast of a refusal. A slot is free again sooner at an engine that runs.
	maxForecastMemory = time.Second
)

// refusals records the endpoints that recently refused a request: for a reason that their load does not show, or until the time
// at which they forecast room. It is safe for
// concurrent use.
type refusals struct {
	mu    sync.Mutex
	until map[catalog.EndpointID]time.Duration
}

func newRefusals() *refusals { return &refusals{until: make(map[catalog.EndpointID]time.Duration)} }

// record records a refusal that counts until the given time.
func (r *refusals) record(id catalog.EndpointID, now, until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, expires := range r.until {
		if now >= expires {
			delete(r.until, other)
		}
	}
	r.until[id] = max(r.until[id], until)
}

// penalty returns what the endpoint's score is raised by.
func (r *refusals) penalty(id catalog.EndpointID, now time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now < r.until[id] {
		return refusalPenalty
	}
	return 0
}
