package outcome

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

// onClaimEvent handles the results of claim reads and writes.
func (f *Flow) onClaimEvent(event reduce.Event) []reduce.Effect {
	switch event := event.(type) {
	case ClaimWritten:
		return f.withPending(event.Attempt, func(a *attemptState) []reduce.Effect { return f.onClaimWritten(a, event) })
	case ClaimFound:
		return f.followClaim(event)
	case ClaimAbsent:
		f.otherMayHaveRun = false
		return f.fail(f.lastErr)
	case ClaimFailed:
		f.removeUndispatched()
		return f.fail(event.Err)
	}
	return nil
}

// onClaimWritten dispatches the attempt that the written claim names. A new claim, or one moved after a tombstone,
// proves that no other call with the key has run.
func (f *Flow) onClaimWritten(a *attemptState, event ClaimWritten) []reduce.Effect {
	if a.dispatched {
		return nil
	}
	f.otherMayHaveRun = false
	f.claimRevision = event.Revision
	return f.dispatch(a)
}

// followClaim resolves the attempt that the claim names. No other attempt is dispatched until its agent reports that it
// did not and will not run.
func (f *Flow) followClaim(event ClaimFound) []reduce.Effect {
	f.removeUndispatched()
	if !event.SameContent {
		f.otherMayHaveRun = false
		return f.fail(errKeyConflict())
	}
	if f.provedNotRun(event.Attempt.ID) {
		f.otherMayHaveRun = false
		return f.fail(f.lastErr)
	}
	f.claimsFollowed++
	if f.claimsFollowed > maxClaimsFollowed {
		f.otherMayHaveRun = true
		return f.fail(errOutcomeLost())
	}
	f.otherMayHaveRun = true
	f.claimRevision = event.Revision
	a := &attemptState{Attempt: event.Attempt, pending: true, fromOtherCall: true, dispatched: true, checksum: xxhash.New()}
	f.attempts = append(f.attempts, a)
	return []reduce.Effect{Resolve{Attempt: a.Attempt}}
}

// provedNotRun reports whether an attempt with the id is known not to have run.
func (f *Flow) provedNotRun(id core.AttemptID) bool {
	return slices.ContainsFunc(f.attempts, func(a *attemptState) bool { return a.ID == id && a.provedNotRun })
}

// removeUndispatched removes the attempts that were never dispatched.
func (f *Flow) removeUndispatched() {
	kept := f.attempts[:0]
	for _, a := range f.attempts {
		if a.dispatched {
			kept = append(kept, a)
		}
	}
	f.attempts = kept
}

func errKeyConflict() error {
	return fault.New(fault.IdempotencyConflict, "the Idempotency-Key was used for another request", "send a new key with a new request")
}
