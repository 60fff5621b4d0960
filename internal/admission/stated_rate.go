package admission

import (
	"sync"
	"time"
)

// StatedRate is the request rate that an endpoint in trouble states in its answers. It holds until an answer states none. It
// is safe for concurrent use.
type StatedRate struct {
	mu        sync.Mutex
	stated    bool
	perSecond float64
	statedAt  time.Duration // when the last answer that stated a rate arrived
}

// Record records what the answer to a request that was sent at requestedAt and arrived at now states; a nil rate means none.
// Answers can overtake one another, so only a request that was sent after the last statement can end it. Record returns true
// if the rate changed.
func (s *StatedRate) Record(rate *float64, requestedAt, now time.Duration) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate != nil {
		changed = !s.stated || s.perSecond != *rate
		s.stated, s.perSecond, s.statedAt = true, *rate, now
		return changed
	}
	if !s.stated || requestedAt <= s.statedAt {
		return false
	}
	s.stated = false
	return true
}

// Rate returns the stated number of requests per second. It returns false if the endpoint states none.
func (s *StatedRate) Rate() (perSecond float64, stated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.perSecond, s.stated
}

// StatedAt returns when the last answer that stated a rate arrived.
func (s *StatedRate) StatedAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statedAt
}
