package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
)

// unbegunMargin is how long before the deadline of the served version calls that have not begun are ended. It is within serveMargin,
// and leaves the engine time to notice that their connections are closed.
const unbegunMargin = 200 * time.Millisecond

var errNotBegun = errors.New("the engine has not begun the call by the deadline of the version by which it was admitted")

// unbegunCalls are the calls at the engine that may run again elsewhere and whose answers have not begun. The zero value is empty. It
// is safe for concurrent use.
type unbegunCalls struct {
	mu    sync.Mutex
	calls map[*admittedCall]context.CancelCauseFunc
	timer *time.Timer // ends the calls; nil before the first deadline
}

// add adds the call and returns the function that removes it.
func (u *unbegunCalls) add(a *admittedCall, cancel context.CancelCauseFunc) (remove func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.calls == nil {
		u.calls = make(map[*admittedCall]context.CancelCauseFunc)
	}
	u.calls[a] = cancel
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.calls, a)
	}
}

// endAll cancels the calls.
func (u *unbegunCalls) endAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, cancel := range u.calls {
		cancel(errNotBegun)
	}
}

// setServeDeadline sets the boot clock time in nanoseconds from which the served version takes no requests; 0 for none. The calls that
// have not begun shortly before the deadline of the version are ended: forecasts of first events can be wrong.
func (s *Sidecar) setServeDeadline(at int64) {
	if s.serveDeadline.Swap(at) == at {
		return
	}
	u := &s.unbegun
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.timer != nil {
		u.timer.Stop()
	}
	if at == 0 {
		return
	}
	u.timer = time.AfterFunc(time.Duration(at)+serveMargin-unbegunMargin-bootclock.Now(), func() {
		if s.serveDeadline.Load() == at {
			u.endAll()
		}
	})
}
