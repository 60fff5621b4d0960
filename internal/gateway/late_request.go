package gateway

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// lateRequestTime is how long after the stop began a request is served even if it may last longer than the process. Few last that
// long, and callers are told to expect it for three seconds. A busy process notices the signal later than it was sent.
const lateRequestTime = 2900 * time.Millisecond

// plannedStop holds the times of a planned stop on the boot clock.
type plannedStop struct {
	lateFrom time.Duration // a request from then on must be sure to end before the process does
	end      time.Duration // open requests are ended
}

// checkStop returns fault.NotReady for a request with the deadline, on the boot clock, that arrives late in a planned stop and may
// last longer than the process. Another gateway can answer it.
func (g *Gateway) checkStop(deadline time.Duration) error {
	stop := g.stop.Load()
	if stop == nil || bootclock.Now() < stop.lateFrom || deadline <= stop.end {
		return nil
	}
	return fault.New(fault.NotReady, "the gateway stops before the request's time has passed", "send it again on a new connection")
}
