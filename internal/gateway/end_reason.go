package gateway

import (
	"context"
	"errors"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// Causes with which the contexts of calls and attempts are cancelled. Their texts stand in the log.
var (
	errCallerTimeout = errors.New("caller's timeout")
	errRouteTimeout  = errors.New("route's timeout")
	errCallerLeft    = errors.New("caller left")
	errCallerStopped = errors.New("caller does not read")
	errGraceExpired  = errors.New("grace period")
	errOvertaken     = errors.New("overtaken by another endpoint")
	errCallEnded     = errors.New("end of the call")
)

// endedByEndpoint is the reason in the log if neither the caller nor this gateway ended an attempt.
const endedByEndpoint = "endpoint"

// endReason returns who or what ended the call, or its last attempt if the call itself goes on, for the log; "" for none.
func (f *forwarder) endReason() string {
	if f.ctx.Err() != nil {
		return f.reasonOf(f.ctx)
	}
	return f.endedBy
}

// reasonOf returns who or what ended the exchange that has the context.
func (f *forwarder) reasonOf(ctx context.Context) string {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return endedByEndpoint
	case !errors.Is(cause, context.Canceled):
		return cause.Error()
	case f.g.graceExpired.Load():
		return errGraceExpired.Error() // the server has closed the connections of callers
	}
	return errCallerLeft.Error()
}

// addEndReason adds to the log entry who or what ended the attempt, which gave no whole answer, and counts it.
func (f *forwarder) addEndReason(entry *log.Entry, a *attempt) *log.Entry {
	f.endedBy = f.reasonOf(a.ctx)
	telemetry.AttemptEnded(f.endedBy)
	return entry.Str("ended_by", f.endedBy)
}

// callContext returns the context of the call, which ends when the caller disconnects or the call's time has passed, a function
// that ends it for a cause, and one that releases it.
func (f *forwarder) callContext(caller context.Context) (context.Context, context.CancelCauseFunc, context.CancelFunc) {
	cause := errRouteTimeout
	if f.call.Timeout > 0 && f.timeout() == f.call.Timeout-replyMargin {
		cause = errCallerTimeout
	}
	timed, release := context.WithDeadlineCause(caller, f.arrived.Add(f.timeout()), cause)
	ctx, end := context.WithCancelCause(timed)
	return ctx, end, func() {
		end(nil)
		release()
	}
}
