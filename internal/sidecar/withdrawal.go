package sidecar

import (
	"sync"
	"time"
)

// withdrawal is what the engine has said about taking further requests. It is safe for concurrent use. Times are on the boot
// clock.
type withdrawal struct {
	mu           sync.Mutex
	leaving      bool
	leavingSince time.Duration
	heldOffUntil time.Duration
}

// recordAnswer records what an answer of the engine that arrived at the given time says. It returns true if that is new.
func (w *withdrawal) recordAnswer(leaving bool, holdOff, now time.Duration) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if leaving && !w.leaving {
		w.leaving, w.leavingSince, changed = true, now, true
	}
	if until := now + holdOff; holdOff > 0 && until > w.heldOffUntil {
		w.heldOffUntil, changed = until, true
	}
	return changed
}

// recordReport records a report of the engine, which was requested at the given time. A leaving engine says so in all its
// answers, so a report that does not, and that was requested after the engine said it, is of a new incarnation.
func (w *withdrawal) recordReport(leaving bool, requestedAt, now time.Duration) (changed bool) {
	if leaving {
		return w.recordAnswer(true, 0, now)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.leaving || requestedAt <= w.leavingSince {
		return false
	}
	w.leaving, w.heldOffUntil = false, 0
	return true
}

// state returns whether the engine is leaving, and how much longer it wants no requests.
func (w *withdrawal) state(now time.Duration) (leaving bool, holdOff time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving, max(0, w.heldOffUntil-now)
}
