package gateway

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
)

// streamStallTimeout is the least time for which a stream that another endpoint could resume may be silent. Callers give up
// after two seconds, or later on a route with long objectives.
const streamStallTimeout = 1200 * time.Millisecond

// pauseTimeoutFactor is the multiple of the longest pause that is on time after which a stream counts as stalled, if that is
// more than streamStallTimeout. A stream that is merely late is worth more than one that has to be read again elsewhere.
const pauseTimeoutFactor = 3

// answerTimeoutFactor is the multiple of the route's objective after which an endpoint of a plain service counts as silent. Such
// an answer is late already, and another endpoint can still answer within the route's timeout.
const answerTimeoutFactor = 1.3

// neverDue is the due time of a timer that does not run.
const neverDue = math.MaxInt64

// stallTimer reports an attempt whose endpoint sends nothing. A connection across a network partition is silent and never ends by
// itself. It runs while the attempt waits for its endpoint, and not while the endpoint waits for the caller. The zero value never
// reports.
type stallTimer struct {
	timer *time.Timer // nil if no other endpoint may run the call
	due   atomic.Int64
	left  time.Duration // until it is due, while it is paused
	seen  atomic.Bool   // the silence was recorded; it is reported once
}

// start starts the timer of an attempt that another endpoint may take over.
func (s *stallTimer) start(a *attempt) {
	route := a.f.route
	if route.Repeat != catalog.Idempotent {
		return
	}
	timeout := firstEventTimeout(route.Objective)
	if !route.Streams && route.Objective > 0 {
		timeout = time.Duration(answerTimeoutFactor * float64(route.Objective))
	}
	s.due.Store(int64(bootclock.Now() + timeout))
	s.timer = time.AfterFunc(timeout, func() {
		select {
		case a.f.reports <- report{attempt: a, kind: reportSilent}:
		case <-a.ctx.Done():
		}
	})
}

// isDue reports whether the time has passed. It is false for a report that was overtaken by an event.
func (s *stallTimer) isDue() bool { return int64(bootclock.Now()) >= s.due.Load() }

// pause stops the timer and keeps the time that is left.
func (s *stallTimer) pause() {
	if s.timer == nil {
		return
	}
	s.timer.Stop()
	s.left = max(0, time.Duration(s.due.Swap(neverDue))-bootclock.Now())
}

// resume restarts a paused timer with the time that is left, unless the silence was recorded.
func (s *stallTimer) resume() {
	if !s.seen.Load() {
		s.run(s.left)
	}
}

// restart restarts the timer with a new time, after progress.
func (s *stallTimer) restart(timeout time.Duration) {
	s.seen.Store(false)
	s.run(timeout)
}

func (s *stallTimer) run(timeout time.Duration) {
	if s.timer == nil {
		return
	}
	s.due.Store(int64(bootclock.Now() + timeout))
	s.timer.Reset(timeout)
}

// firstEventTimeout returns the time without a first event after which a stream counts as stalled.
func firstEventTimeout(objective time.Duration) time.Duration {
	return max(streamStallTimeout, time.Duration(answerTimeoutFactor*float64(objective)))
}

// pauseTimeout returns the time without a further event after which a stream counts as stalled.
func pauseTimeout(pauseObjective time.Duration) time.Duration {
	return max(streamStallTimeout, pauseTimeoutFactor*pauseObjective)
}
