// Package placement chooses the endpoint of a gateway's request. Filters leave out endpoints that cannot or must not
// run it, a score compares the rest, and the pick takes the best of a few drawn at random, so that gateways which know
// the same do not all choose the same endpoint.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/routing"
)

// Query is what a pick depends on besides the endpoints and their loads.
type Query struct {
	Regions catalog.Regions
	Home    core.Region // where the gateway stands
	Exclude map[catalog.EndpointID]bool
	Model   core.Model // "" for a plain service
	Version int64      // the oldest version that may run it; 0 for any
	Now     time.Duration
}

// Placer knows the loads and the health of endpoints. It is safe for concurrent use.
type Placer struct {
	meters   *routing.Meters
	health   *health
	randIntN func(n int) int
}

// NewPlacer returns a placer that knows nothing yet.
func NewPlacer() *Placer {
	return &Placer{meters: routing.NewMeters(), health: newHealth(), randIntN: rand.IntN}
}

// Load returns the meter of the endpoint's load.
func (p *Placer) Load(id catalog.EndpointID) *routing.Meter { return p.meters.Of(core.HostID(id)) }

// Succeeded says that the endpoint answered. It returns true for one that had failed lately.
func (p *Placer) Succeeded(id catalog.EndpointID) bool { return p.health.recordSuccess(id) }

// Failed says that the endpoint could not be reached or broke off. It returns until when it is avoided, and true if it was
// not avoided yet.
func (p *Placer) Failed(id catalog.EndpointID, now time.Duration) (until time.Duration, changed bool) {
	return p.health.recordFailure(id, now)
}

// Pick chooses an endpoint, or returns nil when none may run the request. One whose entry does not show the version comes
// last; only its sidecar knows whether it serves it by now.
func (p *Placer) Pick(endpoints []*catalog.Endpoint, query Query) *catalog.Endpoint {
	eligible, unconfirmed := filter(endpoints, query)
	if len(eligible) == 0 {
		eligible = unconfirmed
	}
	healthy := p.excludeFailing(eligible, query.Now)
	if len(healthy) > 0 {
		eligible = healthy
	}
	return p.lowestScore(eligible, query)
}

// lowestScore takes the lowest score; among equals, one at random.
func (p *Placer) lowestScore(endpoints []*catalog.Endpoint, query Query) *catalog.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	start := p.randIntN(len(endpoints))
	var best *catalog.Endpoint
	lowest := 0.0
	for i := range endpoints {
		endpoint := endpoints[(start+i)%len(endpoints)]
		score := p.score(endpoint, query)
		if best == nil || score < lowest {
			best, lowest = endpoint, score
		}
	}
	return best
}
