package gateway

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// streamStallTimeout is the least time for which a stream that another endpoint could resume may be silent. Callers give up
// after two seconds, or later on a route with long objectives.
const streamStallTimeout = 1200 * time.Millisecond

// pauseTimeoutFactor is the multiple of the longest pause that is on time after which a stream counts as stalled, if that is
// more than streamStallTimeout. A stream that is merely late is worth more than one that has to be read again elsewhere.
const pauseTimeoutFactor = 3

// stallTimer cancels an attempt that makes no progress. A connection across a network partition is silent and never ends by
// itself.
type stallTimer struct {
	timer *time.Timer // nil when only the caller's timeout bounds the attempt
	pause time.Duration
}

// answerTimeoutFactor is the multiple of the route's objective after which an attempt at a plain service is cancelled if it
// may be retried. Such an answer is late already, and another endpoint can still answer within the route's timeout.
const answerTimeoutFactor = 1.3

// newStallTimer returns a timer that calls cancel when the attempt stalls. The timer does nothing if no other endpoint may
// be tried instead.
func (f *forwarder) newStallTimer(cancel func()) *stallTimer {
	if f.route.Repeat != catalog.Idempotent || f.possibleRuns+1 >= f.route.MaxAttempts {
		return &stallTimer{}
	}
	timeout := firstEventTimeout(f.route.Objective)
	if !f.route.Streams && f.route.Objective > 0 {
		timeout = time.Duration(answerTimeoutFactor * float64(f.route.Objective))
	}
	return &stallTimer{timer: time.AfterFunc(timeout, cancel), pause: pauseTimeout(f.route.PauseObjective)}
}

// firstEventTimeout returns the time without a first event after which a stream counts as stalled.
func firstEventTimeout(objective time.Duration) time.Duration {
	return max(streamStallTimeout, time.Duration(answerTimeoutFactor*float64(objective)))
}

// pauseTimeout returns the time without a further event after which a stream counts as stalled.
func pauseTimeout(pauseObjective time.Duration) time.Duration {
	return max(streamStallTimeout, pauseTimeoutFactor*pauseObjective)
}

// reset restarts the timer when a part of the answer has arrived.
func (s *stallTimer) reset() {
	if s.timer != nil {
		s.timer.Reset(s.pause)
	}
}

func (s *stallTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
