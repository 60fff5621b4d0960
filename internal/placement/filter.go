package placement

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// filter returns the endpoints in allowed regions that are not excluded. Eligible ones have a registry entry that
// shows a suitable version, the others are unconfirmed. A registry entry lags some seconds behind an engine that
// starts or changes weights, so an unconfirmed endpoint may already serve the version.
func filter(endpoints []*catalog.Endpoint, query Query) (eligible, unconfirmed []*catalog.Endpoint) {
	for _, endpoint := range endpoints {
		switch {
		case query.Exclude[endpoint.ID] || !query.Regions.Allows(endpoint.Region):
		case ShowsVersion(endpoint, query):
			eligible = append(eligible, endpoint)
		default:
			unconfirmed = append(unconfirmed, endpoint)
		}
	}
	return eligible, unconfirmed
}

// ShowsVersion reports whether, according to its registry entry, the endpoint serves the model at the version or a newer
// one. It is always true for a plain service.
func ShowsVersion(endpoint *catalog.Endpoint, query Query) bool {
	if query.Model == "" {
		return true
	}
	version, ok := endpoint.Serves(query.Model)
	return ok && version >= query.MinVersion
}

// excludeWithdrawn returns the endpoints that have not said that they want no requests.
func (p *Placer) excludeWithdrawn(endpoints []*catalog.Endpoint, now time.Duration) []*catalog.Endpoint {
	wanted := make([]*catalog.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if !p.withdrawals.excludes(endpoint, now) {
			wanted = append(wanted, endpoint)
		}
	}
	return wanted
}

// excludeFailing returns the endpoints that are not avoided after a failure.
func (p *Placer) excludeFailing(endpoints []*catalog.Endpoint, now time.Duration) []*catalog.Endpoint {
	healthy := make([]*catalog.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if !p.health.isAvoided(endpoint.ID, now) {
			healthy = append(healthy, endpoint)
		}
	}
	return healthy
}
