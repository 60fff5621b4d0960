package gateway

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// stallLimit is how long a stream that another endpoint could go on with may be silent: well above the pause that
// still counts as in time, and under the gap after which callers give up.
const streamStallTimeout = 1200 * time.Millisecond

// watch ends an attempt that makes no progress. A connection through a partition is silent and never ends by itself.
type stallTimer struct {
	timer *time.Timer // nil when the attempt may take as long as its caller waits
}

// answerShare of a route's objective is waited for the answer of a plain service that may be asked twice: what takes
// longer is late already, and another endpoint still answers before the route's time is over.
const answerTimeoutFactor = 1.3

// newWatch watches an attempt if another endpoint may still be tried instead.
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

// progress says that a part of the answer arrived.
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
