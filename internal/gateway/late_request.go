package gateway

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/fault"
)

const (
	// lateRequestTime is how long after a process noticed the signal to stop a request is served even if it may last longer than the
	// process; few do. By the platform's rules, a request that is sent later than lateRequestLimit after the signal must not be cut.
	lateRequestTime  = lateRequestLimit - maxNoticeDelay
	lateRequestLimit = 3 * time.Second
	// maxNoticeDelay is the longest time from the signal until a process notices it that is allowed for. Only a process that is
	// suspended or gets no processor takes longer.
	maxNoticeDelay = time.Second
)

// errStopsBefore refuses a late request. Other gateways take it at once.
var errStopsBefore = fault.New(fault.NotReady, "the gateway stops before the request's time has passed", "send it again on a new connection")

// plannedStop holds the times of a planned stop on the boot clock.
type plannedStop struct {
	lateFrom time.Duration // a request from then on must be sure to end before the process does
	end      time.Duration // open requests are ended
}

// checkStop returns errStopsBefore for a request with the deadline, on the boot clock, that arrives late in a planned stop and may
// last longer than the process. Another gateway can answer it.
func (g *Gateway) checkStop(deadline time.Duration) error {
	stop := g.stop.Load()
	if stop == nil || bootclock.Now() < stop.lateFrom || deadline <= stop.end {
		return nil
	}
	return errStopsBefore
}
