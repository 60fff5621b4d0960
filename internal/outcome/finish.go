package outcome

import (
	"github.com/joomcode/errorx"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

const retryAfterSeconds = 1 // suggested to callers of a failed request

// closeNotRun closes an attempt that did not and will not run.
func (f *Flow) closeNotRun(a *attemptState, err error) []reduce.Effect {
	a.pending = false
	a.provedNotRun = true
	f.lastErr = err
	if f.request.ClaimRequired {
		f.otherMayHaveRun = claimMayHaveMoved(err)
	}
	if isFinal(err) {
		return f.fail(err)
	}
	return f.retry()
}

// claimMayHaveMoved reports whether another call may have moved the claim to an attempt of its own. After one of these
// errors the attempt may have been tombstoned by that call's resolve request.
func claimMayHaveMoved(err error) bool {
	return fault.Is(err, fault.Tombstoned) || fault.Is(err, fault.WrongIncarnation) || fault.Is(err, fault.Interrupted)
}

// closeUnknown closes an attempt that may have run and has no complete answer.
func (f *Flow) closeUnknown(a *attemptState, err error) []reduce.Effect {
	a.pending = false
	f.unknownOutcomes++
	f.lastErr = err
	if f.selected == a && !f.forwarded {
		f.selected = nil
	}
	if !f.request.Idempotent || f.forwarded || isFinal(err) {
		return f.fail(err)
	}
	if f.crashes >= maxCrashes {
		return f.fail(errSuspect())
	}
	return f.retry()
}

// retry asks for another attempt unless one is pending. After maxAttempts dispatches it stops retrying.
func (f *Flow) retry() []reduce.Effect {
	if f.pendingCount() > 0 || f.pickPending {
		return nil
	}
	if f.dispatches >= maxAttempts {
		return f.stopRetrying()
	}
	return f.requestPick(f.dispatches > 0)
}

// stopRetrying ends the flow without another attempt. If another call with the key may have run, the claim is read
// first to learn its outcome.
func (f *Flow) stopRetrying() []reduce.Effect {
	if f.otherMayHaveRun {
		return []reduce.Effect{ReadClaim{}}
	}
	return f.fail(f.lastErr)
}

func (f *Flow) onDeadlinePassed() []reduce.Effect {
	return f.fail(fault.New(fault.DeadlinePassed, "the deadline passed", "allow more time"))
}

func (f *Flow) onNoRoom() []reduce.Effect {
	return f.fail(fault.New(fault.LostOutcome, "the entry has no room for the answer", "check whether the request took effect; request a smaller answer"))
}

func (f *Flow) onCallerGone() []reduce.Effect {
	return f.fail(fault.New(fault.Interrupted, "the caller has gone", "send the request again"))
}

// fail ends the flow with an error and gives up the attempts that are still pending.
func (f *Flow) fail(err error) []reduce.Effect {
	f.done = true
	effects := f.cancelPending(nil)
	outcome := f.outcome()
	return append(effects, Fail{Err: f.withRetryAfter(err, outcome), Outcome: outcome})
}

// outcome returns NotRun only if no other call with the key and no attempt of this call can have run.
func (f *Flow) outcome() fault.Outcome {
	if f.otherMayHaveRun || f.unknownOutcomes > 0 {
		return fault.Unknown
	}
	return fault.NotRun
}

// cancelPending gives up all pending attempts other than except, which may be nil. The outcome of the dispatched ones
// counts as unknown. Agents are told to cancel an idempotent request only; any other runs to its end.
func (f *Flow) cancelPending(except *attemptState) []reduce.Effect {
	var effects []reduce.Effect
	for _, a := range f.attempts {
		if a == except || !a.pending {
			continue
		}
		a.pending = false
		if !a.dispatched {
			continue
		}
		f.unknownOutcomes++
		effects = append(effects, CloseConn{Attempt: a.ID})
		if f.request.Idempotent {
			effects = append(effects, Cancel{Attempt: a.Attempt})
		}
	}
	return effects
}

// withRetryAfter adds a retry delay to the error if a retry can help and is safe: the request did not run, is
// idempotent, or has a claimed key.
func (f *Flow) withRetryAfter(err error, outcome fault.Outcome) error {
	retrySafe := outcome == fault.NotRun || f.request.Idempotent || f.request.ClaimRequired
	typed := errorx.Cast(err)
	if !retrySafe || isFinal(err) || typed == nil || fault.RetryAfter(err) > 0 {
		return err
	}
	return fault.WithRetryAfter(typed, retryAfterSeconds)
}

// isFinal reports whether the error rules out another attempt.
func isFinal(err error) bool {
	for _, kind := range []*errorx.Type{fault.SuspectRequest, fault.IdempotencyConflict, fault.DeadlinePassed, fault.BadRequest, fault.TooLarge} {
		if fault.Is(err, kind) {
			return true
		}
	}
	return false
}

func errSuspect() error {
	return fault.New(fault.SuspectRequest, "endpoints crashed while they ran this request", "do not send it again unchanged; ask an operator to investigate")
}
