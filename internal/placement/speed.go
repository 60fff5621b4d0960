package placement

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// speedRetention is how long the speed of an endpoint that no longer reports is kept.
const speedRetention = time.Minute

// Speed is what an endpoint states, beside its load, about how long work takes there.
type Speed struct {
	Slowdown      float64 // relative to the published costs
	PendingTokens int     // prompt tokens that it has not read
}

// speeds records the speeds that endpoints state. It is safe for concurrent use.
type speeds struct {
	mu      sync.Mutex
	records map[catalog.EndpointID]*speedRecord
}

type speedRecord struct {
	born       int64 // of the incarnation that the record is about
	slowdown   admission.Slowdown
	pending    int
	reportedAt time.Duration
}

func newSpeeds() *speeds { return &speeds{records: make(map[catalog.EndpointID]*speedRecord)} }

// record records what the endpoint stated at the time now, and drops expired records.
func (s *speeds) record(endpoint *catalog.Endpoint, speed Speed, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[endpoint.ID]
	if r == nil || r.born != endpoint.Born {
		s.removeExpired(now)
		r = &speedRecord{born: endpoint.Born}
		s.records[endpoint.ID] = r
	}
	r.slowdown.Record(speed.Slowdown, now)
	r.pending, r.reportedAt = speed.PendingTokens, now
}

// removeExpired drops the records of endpoints that no longer report. The caller holds s.mu.
func (s *speeds) removeExpired(now time.Duration) {
	for id, r := range s.records {
		if now-r.reportedAt > speedRetention {
			delete(s.records, id)
		}
	}
}

// slowdown returns the slowdown to expect of the endpoint. It returns false if the endpoint has not stated one.
func (s *speeds) slowdown(endpoint *catalog.Endpoint, now time.Duration) (slowdown float64, stated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[endpoint.ID]
	if r == nil || r.born != endpoint.Born {
		return 0, false
	}
	return r.slowdown.Estimate(now), true
}

// RecordLoad records the load that the endpoint stated, and its speed; nil if it states none.
func (p *Placer) RecordLoad(endpoint *catalog.Endpoint, load wire.Load, speed *Speed, now time.Duration) {
	p.Meter(endpoint.ID).RecordReport(load, now)
	if speed != nil {
		p.speeds.record(endpoint, *speed, now)
	}
}
