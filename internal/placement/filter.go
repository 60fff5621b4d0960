package placement

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// filter returns the endpoints that may run the request, and those that may soon: their entries do not show the version,
// but are some seconds behind their engines, which change weights or start.
func filter(endpoints []*catalog.Endpoint, query Query) (able, changing []*catalog.Endpoint) {
	for _, endpoint := range endpoints {
		switch {
		case query.Exclude[endpoint.ID] || !query.Regions.Allow(endpoint.Region):
		case Holds(endpoint, query):
			able = append(able, endpoint)
		default:
			changing = append(changing, endpoint)
		}
	}
	return able, changing
}

// Holds tells whether the endpoint's engine serves the model, as far as the registry tells.
func Holds(endpoint *catalog.Endpoint, query Query) bool {
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
