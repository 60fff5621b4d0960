package placement

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// filter returns the endpoints that may run the request, and those that may soon: their entries do not show the version,
// but are some seconds behind their engines, which change weights or start.
func filter(endpoints []*catalog.Endpoint, query Query) (eligible, unconfirmed []*catalog.Endpoint) {
	for _, endpoint := range endpoints {
		switch {
		case query.Exclude[endpoint.ID] || !query.Regions.Allow(endpoint.Region):
		case Holds(endpoint, query):
			eligible = append(eligible, endpoint)
		default:
			unconfirmed = append(unconfirmed, endpoint)
		}
	}
	return eligible, unconfirmed
}

// Holds tells whether the endpoint's engine serves the model, as far as the registry tells.
func Holds(endpoint *catalog.Endpoint, query Query) bool {
	if query.Model == "" {
		return true
	}
	version, ok := endpoint.Serves(query.Model)
	return ok && version >= query.Version
}

func (p *Placer) excludeFailing(endpoints []*catalog.Endpoint, now time.Duration) []*catalog.Endpoint {
	healthy := make([]*catalog.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if !p.health.isAvoided(endpoint.ID, now) {
			healthy = append(healthy, endpoint)
		}
	}
	return healthy
}
