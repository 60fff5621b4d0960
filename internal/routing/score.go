package routing

import "time"

// load returns the estimated number of requests at the endpoint.
func (e *Endpoint) load(now time.Duration) int64 { return e.Meter.Load(now, e.coldLimit) }

// limit returns the concurrency limit of the endpoint, as last reported or for a cold endpoint.
func (e *Endpoint) limit(now time.Duration) int64 { return e.Meter.Limit(now, e.coldLimit) }

// hasCapacity reports whether the estimated load is below the limit, so that one more request would run at once.
func (e *Endpoint) hasCapacity(now time.Duration) bool {
	return e.load(now) < e.limit(now)
}

// lessLoaded reports whether the endpoint, with one more request, would be less loaded than the other would be. Loads
// are relative to the limits.
func (e *Endpoint) lessLoaded(other *Endpoint, now time.Duration) bool {
	scaledLoad := (e.load(now) + 1) * other.limit(now)
	otherScaledLoad := (other.load(now) + 1) * e.limit(now)
	return scaledLoad < otherScaledLoad
}

// LoadAndLimit returns the sum of the estimated loads and the sum of the limits of all endpoints of the service, in
// requests.
func (s *Service) LoadAndLimit(now time.Duration) (load, limit int64) {
	for _, tier := range s.tiers {
		for _, endpoint := range tier {
			load += endpoint.load(now)
			limit += endpoint.limit(now)
		}
	}
	return load, limit
}
