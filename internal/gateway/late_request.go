package gateway

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// lateRequestDelay is the time after SIGTERM within which a request may be read although its answer could be cut off with the
// grace period. Callers are told to expect that for three seconds; a busy process notices the signal later than it was sent.
const lateRequestDelay = 2900 * time.Millisecond

// checkGracePeriod returns fault.NotReady for a call that was read late while the gateway stops, if its time outlasts the grace
// period. Another gateway can answer it.
func (f *forwarder) checkGracePeriod() error {
	began := time.Duration(f.g.stopBegan.Load())
	if began == 0 || bootclock.Now()-began < lateRequestDelay {
		return nil
	}
	if f.deadline < began+f.g.settings.GraceMs.Duration()-exitMargin {
		return nil
	}
	return fault.New(fault.NotReady, "this gateway stops before the time of the request has passed", "use another gateway")
}
