package placement

import (
	"math"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

const (
	// errorHalfLife is the age at which an answer counts half in an endpoint's share of errors. An endpoint that is avoided gets
	// no answers, so that its errors are forgotten and it is tried again.
	errorHalfLife = 5 * time.Second
	// minErrors is the number of errors, weighted by age, from which an endpoint is avoided. One error is no evidence.
	minErrors = 1.5
	// minErrorShare is the share of errors from which an endpoint is avoided.
	minErrorShare = 0.1
	// maxAvoidedShare of the endpoints are avoided for their errors. If more fail, the cause may be the requests.
	maxAvoidedShare = 1.0 / 3
)

// errorShares records which share of its answers to this gateway were errors, for endpoints that fail some requests while their
// health is good. It is safe for concurrent use.
type errorShares struct {
	mu      sync.Mutex
	records map[catalog.EndpointID]*errorRecord
}

type errorRecord struct {
	answers   float64 // weighted by their age
	errors    float64
	updatedAt time.Duration
}

func newErrorShares() *errorShares {
	return &errorShares{records: make(map[catalog.EndpointID]*errorRecord)}
}

// record records an answer of the endpoint, and drops expired records.
func (s *errorShares) record(id catalog.EndpointID, failed bool, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[id]
	if r == nil {
		for other, record := range s.records {
			if now-record.updatedAt > recordRetention {
				delete(s.records, other)
			}
		}
		r = &errorRecord{updatedAt: now}
		s.records[id] = r
	}
	weight := r.weight(now)
	r.answers, r.errors, r.updatedAt = r.answers*weight+1, r.errors*weight, now
	if failed {
		r.errors++
	}
}

// weight returns what an answer at the last update counts now.
func (r *errorRecord) weight(now time.Duration) float64 { return weightOf(now - r.updatedAt) }

// weightOf returns what an answer of that age counts.
func weightOf(age time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(errorHalfLife))
}

// share returns the endpoint's share of errors, or 0 without enough evidence. The caller holds s.mu.
func (s *errorShares) share(id catalog.EndpointID, now time.Duration) float64 {
	r := s.records[id]
	if r == nil || r.errors*r.weight(now) < minErrors || r.errors < minErrorShare*r.answers {
		return 0
	}
	return r.errors / r.answers
}

// exclude returns the endpoints without those that have the highest shares of errors, at most maxAvoidedShare of them.
func (s *errorShares) exclude(endpoints []*catalog.Endpoint, now time.Duration) []*catalog.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	avoided := make(map[catalog.EndpointID]bool)
	for range int(float64(len(endpoints)) * maxAvoidedShare) {
		var worst *catalog.Endpoint
		for _, endpoint := range endpoints {
			share := s.share(endpoint.ID, now)
			if share > 0 && !avoided[endpoint.ID] && (worst == nil || share > s.share(worst.ID, now)) {
				worst = endpoint
			}
		}
		if worst == nil {
			break
		}
		avoided[worst.ID] = true
	}
	if len(avoided) == 0 {
		return endpoints
	}
	sound := make([]*catalog.Endpoint, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if !avoided[endpoint.ID] {
			sound = append(sound, endpoint)
		}
	}
	return sound
}

// RecordAnswer records whether the endpoint failed a request that it has run. It returns true if the endpoint is now avoided for
// its share of errors, as long as few others are, and was not before.
func (p *Placer) RecordAnswer(id catalog.EndpointID, failed bool, now time.Duration) (newlyAvoided bool) {
	before := p.errors.isSuspect(id, now)
	p.errors.record(id, failed, now)
	return !before && p.errors.isSuspect(id, now)
}

// TakeBackError takes back that the endpoint failed a request, which was recorded at that time, and the request with it.
func (p *Placer) TakeBackError(id catalog.EndpointID, recordedAt, now time.Duration) {
	p.errors.takeBack(id, recordedAt, now)
}

func (s *errorShares) takeBack(id catalog.EndpointID, recordedAt, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[id]
	if r == nil {
		return
	}
	weight, share := r.weight(now), weightOf(now-recordedAt)
	r.answers, r.errors, r.updatedAt = max(0, r.answers*weight-share), max(0, r.errors*weight-share), now
}

func (s *errorShares) isSuspect(id catalog.EndpointID, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.share(id, now) > 0
}
