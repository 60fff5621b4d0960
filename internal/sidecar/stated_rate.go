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
