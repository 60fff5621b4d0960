package placement

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// filter returns the endpoints that may run the request.
func filter(endpoints []*catalog.Endpoint, query Query) []*catalog.Endpoint {
	able := make([]*catalog.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if query.Exclude[endpoint.ID] || !query.Regions.Allow(endpoint.Region) || !holds(endpoint, query) {
			continue
		}
		able = append(able, endpoint)
	}
	return able
}

// holds tells whether the endpoint's engine serves the model, as far as the registry tells.
func holds(endpoint *catalog.Endpoint, query Query) bool {
	if query.Model == "" {
		return true
	}
	version, ok := endpoint.Serves(query.Model)
	return ok && version >= query.Version
}

func (p *Placer) withoutFailing(endpoints []*catalog.Endpoint, now time.Duration) []*catalog.Endpoint {
	sound := make([]*catalog.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if !p.health.failing(endpoint.ID, now) {
			sound = append(sound, endpoint)
		}
	}
	return sound
}
