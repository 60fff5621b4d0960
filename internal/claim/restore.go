package claim

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// lossWindow is how long no new claims are accepted after a restore of the table service from a copy was noticed. A claim that
// was lost with the service's last seconds cannot be told from one that was never written. Callers resend within this time.
const lossWindow = time.Minute

// restoreWatch notices that the table service was restored from a copy. It is safe for concurrent use.
type restoreWatch struct {
	now func() time.Time

	mu         sync.Mutex
	era        uint64 // highest era of any answer; 0 if unknown
	restoredAt time.Time
}

// observe records the era of an answer.
func (w *restoreWatch) observe(era uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.era > 0 && era > w.era {
		w.restoredAt = w.now()
	}
	w.era = max(w.era, era)
}

// checkAbsent returns an error while a claim that is absent may have been lost. The request may have run.
func (w *restoreWatch) checkAbsent() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.restoredAt.IsZero() {
		return nil
	}
	left := lossWindow - w.now().Sub(w.restoredAt)
	if left <= 0 {
		return nil
	}
	err := fault.New(fault.PlatformUnavailable, "the table service was restored from a copy and may have lost the claim", "check whether the request took effect, or send it again with the same Idempotency-Key after the time in Retry-After")
	return fault.WithRetryAfter(err, int(left/time.Second)+1)
}
