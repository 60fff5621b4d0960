package placement

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/catalog"
)

// statedRateRetention is how long a stated rate holds without an answer that states it again. An endpoint that may be sent
// requests answers more often.
const statedRateRetention = time.Minute

// statedRates records the request rates that endpoints state. It is safe for concurrent use.
type statedRates struct {
	mu      sync.Mutex
	records map[catalog.EndpointID]*rateRecord
}

type rateRecord struct {
	born int64 // of the incarnation that the record is about
	rate admission.StatedRate
}

func newStatedRates() *statedRates {
	return &statedRates{records: make(map[catalog.EndpointID]*rateRecord)}
}

// record records what an answer of the endpoint states; a nil rate means none. It returns whether the rate changed.
func (s *statedRates) record(endpoint *catalog.Endpoint, rate *float64, requestedAt, now time.Duration) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.recordOf(endpoint, now)
	if r == nil {
		if rate == nil {
			return false
		}
		r = &rateRecord{born: endpoint.Born}
		s.records[endpoint.ID] = r
	}
	return r.rate.Record(rate, requestedAt, now)
}

// rateOf returns the rate that the endpoint states, and false if it states none.
func (s *statedRates) rateOf(endpoint *catalog.Endpoint, now time.Duration) (perSecond float64, stated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.recordOf(endpoint, now); r != nil {
		return r.rate.Rate()
	}
	return 0, false
}

// recordOf returns the record of the endpoint's incarnation, or nil, and drops expired records. The caller holds s.mu.
func (s *statedRates) recordOf(endpoint *catalog.Endpoint, now time.Duration) *rateRecord {
	for id, r := range s.records {
		if now-r.rate.StatedAt() > statedRateRetention {
			delete(s.records, id)
		}
	}
	if r := s.records[endpoint.ID]; r != nil && r.born == endpoint.Born {
		return r
	}
	return nil
}
