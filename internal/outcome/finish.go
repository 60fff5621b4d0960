package outcome

import (
	"github.com/joomcode/errorx"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

const retryAfterS = 1 // seconds until a refused request is worth another try

// notRun closes an attempt that did not and will not run.
func (f *Flow) notRun(a *attempt, err error) []reduce.Effect {
	a.open = false
	a.proved = true
	f.last = err
	if f.request.Claimed {
		f.prior = movable(err)
	}
	if final(err) {
		return f.refuse(err)
	}
	return f.again()
}

// movable tells whether another call may have moved the claim meanwhile, since it may have been the one that had the
// attempt declared never run.
func movable(err error) bool {
	return fault.Is(err, fault.Tombstoned) || fault.Is(err, fault.WrongLife) || fault.Is(err, fault.Interrupted)
}

// failed closes an attempt that may have run and has no whole answer.
func (f *Flow) failed(a *attempt, err error) []reduce.Effect {
	a.open = false
	f.unknown++
	f.last = err
	if f.chosen == a && !f.passed {
		f.chosen = nil
	}
	if !f.request.Idempotent || f.passed || final(err) {
		return f.refuse(err)
	}
	if f.crashes >= maxCrashes {
		return f.refuse(errSuspect())
	}
	return f.again()
}

// again makes a further attempt, unless one is open or enough were made.
func (f *Flow) again() []reduce.Effect {
	if f.opened() > 0 || f.picking {
		return nil
	}
	if f.sent >= maxAttempts {
		return f.giveUp()
	}
	return f.pick(f.sent > 0)
}

// giveUp ends the flow without a further attempt. A call with a key first has to read what other calls with that key
// came to.
func (f *Flow) giveUp() []reduce.Effect {
	if f.prior {
		return []reduce.Effect{ReadClaim{}}
	}
	return f.refuse(f.last)
}

func (f *Flow) expire() []reduce.Effect {
	return f.refuse(fault.New(fault.Expired, "the deadline passed", "allow more time"))
}

func (f *Flow) abandon() []reduce.Effect {
	return f.refuse(fault.New(fault.Interrupted, "the caller has gone", "send the request again"))
}

// refuse ends the flow at once. Attempts that are still open are given up.
func (f *Flow) refuse(err error) []reduce.Effect {
	f.done = true
	effects := f.cancelOthers(nil)
	outcome := f.outcome()
	return append(effects, Refuse{Err: f.withRetryAfter(err, outcome), Outcome: outcome})
}

// outcome is NotRun only if no other call with the key and no attempt of this call can have run.
func (f *Flow) outcome() fault.Outcome {
	if f.prior || f.unknown > 0 {
		return fault.Unknown
	}
	return fault.NotRun
}

// cancelOthers gives up every open attempt but one. What runs and is not idempotent runs on.
func (f *Flow) cancelOthers(kept *attempt) []reduce.Effect {
	var effects []reduce.Effect
	for _, a := range f.attempts {
		if a == kept || !a.open {
			continue
		}
		a.open = false
		if !a.sent {
			continue
		}
		f.unknown++
		effects = append(effects, Drop{Attempt: a.ID})
		if f.request.Idempotent {
			effects = append(effects, Cancel{Attempt: a.Attempt})
		}
	}
	return effects
}

// withRetryAfter adds a time to come back to a refusal that another try may mend without harm.
func (f *Flow) withRetryAfter(err error, outcome fault.Outcome) error {
	harmless := outcome == fault.NotRun || f.request.Idempotent || f.request.Claimed
	typed := errorx.Cast(err)
	if !harmless || final(err) || typed == nil || fault.RetryAfter(err) > 0 {
		return err
	}
	return fault.WithRetryAfter(typed, retryAfterS)
}

// final tells whether no further attempt can mend the error.
func final(err error) bool {
	for _, kind := range []*errorx.Type{fault.Suspect, fault.KeyConflict, fault.Expired, fault.BadRequest, fault.TooLarge} {
		if fault.Is(err, kind) {
			return true
		}
	}
	return false
}

func errSuspect() error {
	return fault.New(fault.Suspect, "endpoints crashed while they ran this request", "do not send it again unchanged; have an operator look into it")
}
