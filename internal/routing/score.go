package routing

import "time"

// limit is how many requests the endpoint is believed to bear at once.
func (e *Endpoint) limit(now time.Duration) int64 {
	if limit := e.Meter.Limit(now); limit > 0 {
		return limit
	}
	return e.coldLimit
}

// hasRoom tells whether the endpoint is believed to run one request more at once.
func (e *Endpoint) hasRoom(now time.Duration) bool {
	return e.Meter.Load(now) < e.limit(now)
}

// lessLoaded tells whether the endpoint, with one request more, would be less loaded than the other, each relative to
// its limit.
func (e *Endpoint) lessLoaded(other *Endpoint, now time.Duration) bool {
	mine := (e.Meter.Load(now) + 1) * other.limit(now)
	others := (other.Meter.Load(now) + 1) * e.limit(now)
	return mine < others
}

// Pressure returns the requests at all endpoints of the service, and how many they are believed to bear.
func (s *Service) Pressure(now time.Duration) (load, limit int64) {
	for _, tier := range s.tiers {
		for _, endpoint := range tier {
			load += endpoint.Meter.Load(now)
			limit += endpoint.limit(now)
		}
	}
	return load, limit
}
