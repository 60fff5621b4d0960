package follow

import (
	"errors"
	"time"
)

const (
	// leastBackoff is the delay after the first failed read of the store by a process that normally reads from delegates.
	leastBackoff = 200 * time.Millisecond
	// mostBackoff keeps a hundred processes below a tenth of the store's rate limits during an outage. Delegates read the
	// store more often and notify the other processes.
	mostBackoff = 1600 * time.Millisecond
)

// backoff delays retries of a failing operation. The delay doubles with each consecutive failure, up to mostBackoff.
type backoff struct {
	pause time.Duration // the last delay; 0 after a success
	until time.Duration // earliest time of the next attempt
}

// due reports whether the operation may be tried now.
func (b *backoff) due(now time.Duration) bool { return now >= b.until }

// observe records the result of an attempt. Success and ErrHistoryGone reset the backoff.
func (b *backoff) observe(err error, now time.Duration) {
	if err == nil || errors.Is(err, ErrHistoryGone) {
		*b = backoff{}
		return
	}
	b.pause = min(mostBackoff, max(leastBackoff, 2*b.pause))
	b.until = now + b.pause
}
