package gateway

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// stallLimit is how long a stream that another endpoint could go on with may be silent: well above the pause that
// still counts as in time, and under the gap after which callers give up.
const stallLimit = 1200 * time.Millisecond

// watch ends an attempt that makes no progress. A connection through a partition is silent and never ends by itself.
type watch struct {
	timer *time.Timer // nil when the attempt may take as long as its caller waits
}

// newWatch watches an attempt if another endpoint may still be tried instead.
func (f *flow) newWatch(end context.CancelFunc) *watch {
	repeatable := f.route.Resumable && f.route.Repeat == catalog.Idempotent
	if !repeatable || f.runs+1 >= f.route.MaxAttempts {
		return &watch{}
	}
	return &watch{timer: time.AfterFunc(stallLimit, end)}
}

// progress says that a part of the answer arrived.
func (w *watch) progress() {
	if w.timer != nil {
		w.timer.Reset(stallLimit)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
