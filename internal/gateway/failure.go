package gateway

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// recordFailed records an attempt that gave no whole answer.
func (f *forwarder) recordFailed(a *attempt, err error) {
	switch {
	case a.outcome == reachRefused && asRefusal(err) == nil:
		f.lastErr = err
		a.pick.recordOutcome(err)
	case a.answer != nil:
		f.recordBrokenAnswer(a, err)
	default:
		f.recordNoAnswer(a, err)
	}
}

// recordEndpointFailure tells the placer that the endpoint failed the call, unless its silence was counted already.
func (f *forwarder) recordEndpointFailure(a *attempt) {
	if f.ctx.Err() == nil && a.failedAt == 0 {
		f.g.recordFailure(a.endpoint)
	}
}

// recordNoAnswer records an attempt without an answer. The error is a refusalError if the sidecar or this gateway refused
// the call.
func (f *forwarder) recordNoAnswer(a *attempt, err error) {
	f.lastErr = err
	a.pick.recordOutcome(err)
	if refusal := asRefusal(err); refusal != nil {
		if refusal.heldOff {
			f.heldOffCount++
		}
		f.quarantined, f.waitsForTurn, f.outdated = refusal.quarantined, refusal.suspect, refusal.outdated
		f.ranking.recordForecast(a.endpoint.ID, refusal)
		return
	}
	f.recordEndpointFailure(a)
	if !dispatch.NotSent(err) {
		f.recordBreak(a)
	}
	entry := f.g.logger.Info().Str("request", string(f.call.ID)).Str("endpoint", string(a.endpoint.ID)).Bool("not_sent", dispatch.NotSent(err)).Err(err)
	f.addEndReason(f.addVersionFields(f.addIdentity(entry), a), a).Msg("endpoint gave no answer")
}

// recordBrokenAnswer records that the endpoint's answer broke off or lacks the endpoint's signature.
func (f *forwarder) recordBrokenAnswer(a *attempt, err error) {
	f.lastErr = err
	a.pick.recordOutcome(err)
	f.recordEndpointFailure(a)
	f.recordBreak(a)
	entry := f.g.logger.Info().Str("request", string(f.call.ID)).Str("endpoint", string(a.endpoint.ID)).Str("framing", string(a.framing)).Err(err)
	f.addEndReason(f.addVersionFields(f.addIdentity(entry), a), a).Msg("answer broken off")
}

// answerFailure answers a call that no endpoint answered successfully.
func (f *forwarder) answerFailure() {
	if f.stream != nil && f.stream.headerSent {
		telemetry.RequestAnswered(f.route.Name, "broken_off", f.answerLatency())
		entry := f.g.logger.Info().Str("request", string(f.call.ID)).Str("last_event", f.stream.lastEventID).Dur("took", time.Since(f.arrived))
		f.addPickFields(entry).Str("ended_by", f.endReason()).Msg("stream broken off")
		f.abortAnswer()
	}
	if f.fallback != nil {
		f.writeAnswer(f.fallback.answer, f.fallback.body, false, nil)
		return
	}
	f.g.writeError(f.w, f.acceptedCall, f.finalError(), f)
}

// finalError returns the error for the caller. Its kind tells whether the call may have run.
func (f *forwarder) finalError() error {
	switch {
	case f.possibleRuns() == 0 && f.quarantined:
		return fault.New(fault.QuarantinedPrompt, "the request or a part of its prompt has crashed endpoints", "change the request, or come back later")
	case f.possibleRuns() == 0 && f.withheld != nil:
		return f.withheld
	case f.possibleRuns() == 0 && f.outdated:
		return fault.New(fault.NotReady, "too much time has passed since the request was checked, or its key is no longer valid", "retry shortly")
	case f.possibleRuns() == 0 && f.waitsForTurn:
		return fault.New(fault.SuspectRequest, "endpoints have ended under equal requests, of which one is being sent", "come back later")
	case f.possibleRuns() == 0 && f.sendCount() == 0 && f.lastErr == nil:
		return fault.New(fault.NoEndpoint, "no endpoint of "+string(f.service)+" may run the request now", "come back later")
	case f.possibleRuns() == 0:
		return fault.New(fault.Overloaded, "no endpoint of "+string(f.service)+" took the request", "come back later")
	case f.ctx.Err() != nil:
		return fault.New(fault.Interrupted, "the request timed out before its answer was complete", "check whether it ran before sending it again")
	default:
		return fault.New(fault.LostOutcome, "the endpoint's answer was lost", "check whether it ran before sending it again")
	}
}

// remainingTime returns the time left, which is sent to the endpoint. 0 means that none is sent, because neither the caller
// nor the route sets a timeout.
func (f *forwarder) remainingTime() time.Duration {
	if f.call.Timeout == 0 && f.route.Timeout == 0 {
		return 0
	}
	return f.deadline - bootclock.Now()
}

// earliestRetry returns the shortest time after which the caller's retry can succeed: minRetryAfter, or longer while all
// endpoints of the service want no requests. A call that was not offered to an endpoint has a nil forwarder.
func (f *forwarder) earliestRetry() time.Duration {
	if f == nil {
		return minRetryAfter
	}
	if f.quarantined && f.possibleRuns() == 0 {
		return quarantineRetryAfter
	}
	query := f.lastQuery
	query.Now = f.g.now()
	holdOff, _ := f.g.placer.HoldOff(f.g.follower.View().AvailableEndpoints(f.service), query)
	return max(minRetryAfter, holdOff)
}
