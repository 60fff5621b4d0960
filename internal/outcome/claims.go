package outcome

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

func (f *Flow) claimEvent(event reduce.Event) []reduce.Effect {
	switch event := event.(type) {
	case ClaimWritten:
		return f.on(event.Attempt, func(a *attempt) []reduce.Effect { return f.claimed(a, event) })
	case ClaimStands:
		return f.follow(event)
	case ClaimAbsent:
		f.prior = false
		return f.refuse(f.last)
	case ClaimFailed:
		f.closeUnsent()
		return f.refuse(event.Err)
	}
	return nil
}

// claimed dispatches under the written claim. A fresh claim, and one moved after a tombstone, proves that no other
// call with the key has run.
func (f *Flow) claimed(a *attempt, event ClaimWritten) []reduce.Effect {
	if a.sent {
		return nil
	}
	f.prior = false
	f.revision = event.Revision
	return f.dispatch(a)
}

// follow turns to the attempt that the claim names. It is dispatched nowhere else until its agent says that it did
// not and will not run.
func (f *Flow) follow(event ClaimStands) []reduce.Effect {
	f.closeUnsent()
	if !event.Same {
		f.prior = false
		return f.refuse(errKeyConflict())
	}
	if f.provedNotRun(event.Attempt.ID) {
		f.prior = false
		return f.refuse(f.last)
	}
	f.claims++
	if f.claims > maxClaims {
		f.prior = true
		return f.refuse(errLost())
	}
	f.prior = true
	f.revision = event.Revision
	a := &attempt{Attempt: event.Attempt, open: true, adopted: true, sent: true, hash: xxhash.New()}
	f.attempts = append(f.attempts, a)
	return []reduce.Effect{Resolve{Attempt: a.Attempt}}
}

func (f *Flow) provedNotRun(id core.AttemptID) bool {
	return slices.ContainsFunc(f.attempts, func(a *attempt) bool { return a.ID == id && a.proved })
}

// closeUnsent forgets attempts that were never dispatched.
func (f *Flow) closeUnsent() {
	kept := f.attempts[:0]
	for _, a := range f.attempts {
		if a.sent {
			kept = append(kept, a)
		}
	}
	f.attempts = kept
}

func errKeyConflict() error {
	return fault.New(fault.KeyConflict, "the Idempotency-Key was used for another request", "send a new key with a new request")
}
