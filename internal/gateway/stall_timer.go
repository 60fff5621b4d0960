package gateway

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// streamStallTimeout is how long a stream that another endpoint could resume may be silent. It is well above the pause
// that the objectives allow, and below the pause after which callers give up.
const streamStallTimeout = 1200 * time.Millisecond

// stallTimer cancels an attempt that makes no progress. A connection across a network partition is silent and never ends by
// itself.
type stallTimer struct {
	timer *time.Timer // nil when only the caller's timeout bounds the attempt
}

// answerTimeoutFactor is the multiple of the route's objective after which an attempt at a plain service is cancelled if it
// may be retried. Such an answer is late already, and another endpoint can still answer within the route's timeout.
const answerTimeoutFactor = 1.3

// newStallTimer returns a timer that calls cancel when the attempt stalls. The timer does nothing if no other endpoint may
// be tried instead.
func (f *forwarder) newStallTimer(cancel context.CancelFunc) *stallTimer {
	if f.route.Repeat != catalog.Idempotent || f.possibleRuns+1 >= f.route.MaxAttempts {
		return &stallTimer{}
	}
	timeout := streamStallTimeout
	if !f.route.Streams && f.route.Objective > 0 {
		timeout = time.Duration(answerTimeoutFactor * float64(f.route.Objective))
	}
	return &stallTimer{timer: time.AfterFunc(timeout, cancel)}
}

// reset restarts the timer when a part of the answer has arrived.
func (s *stallTimer) reset() {
	if s.timer != nil {
		s.timer.Reset(streamStallTimeout)
	}
}

func (s *stallTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
