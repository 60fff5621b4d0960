package routing

import "time"

// load is how many requests are believed to be at the endpoint.
func (e *Endpoint) load(now time.Duration) int64 { return e.Meter.Load(now, e.coldLimit) }

// limit is how many requests the endpoint is believed to bear at once.
func (e *Endpoint) limit(now time.Duration) int64 { return e.Meter.Limit(now, e.coldLimit) }

// hasCapacity tells whether the endpoint is believed to run one request more at once.
func (e *Endpoint) hasCapacity(now time.Duration) bool {
	return e.load(now) < e.limit(now)
}

// lessLoaded tells whether the endpoint, with one request more, would be less loaded than the other, each relative to
// its limit.
func (e *Endpoint) lessLoaded(other *Endpoint, now time.Duration) bool {
	scaledLoad := (e.load(now) + 1) * other.limit(now)
	otherScaledLoad := (other.load(now) + 1) * e.limit(now)
	return scaledLoad < otherScaledLoad
}

// Pressure returns the requests at all endpoints of the service, and how many they are believed to bear.
func (s *Service) Pressure(now time.Duration) (load, limit int64) {
	for _, tier := range s.tiers {
		for _, endpoint := range tier {
			load += endpoint.load(now)
			limit += endpoint.limit(now)
		}
	}
	return load, limit
}
