package sidecar

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
)

// recordRate records the request rate that an answer of the engine states, nil for none, and logs a change. The request was
// sent at sentAt.
func (s *Sidecar) recordRate(rate *float64, sentAt time.Duration) {
	if !s.statedRate.Record(rate, sentAt, bootclock.Now()) {
		return
	}
	entry := s.logger.Info()
	if rate != nil {
		entry.Float64("per_second", *rate)
	}
	entry.Msg("engine's stated request rate changed")
}

// takeRate takes one request of the rate that the engine states. It returns false if there is none left.
func (s *Sidecar) takeRate() bool {
	perSecond, stated := s.statedRate.Rate()
	if !stated {
		return true
	}
	_, ok := s.rateLimiter.Take(perSecond, bootclock.Now())
	return ok
}

// rateWait returns the time until the engine takes a request at the rate that it states; 0 if it takes one now.
func (s *Sidecar) rateWait() time.Duration {
	perSecond, stated := s.statedRate.Rate()
	if !stated {
		return 0
	}
	return s.rateLimiter.Wait(perSecond, bootclock.Now())
}
