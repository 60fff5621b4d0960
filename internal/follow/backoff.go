package follow

import (
	"errors"
	"time"
)

const (
	// minBackoff is the delay after the first failed read of the store by a process that normally reads from delegates.
	minBackoff = 200 * time.Millisecond
	// maxBackoff keeps a hundred processes below a tenth of the store's rate limits during an outage. Delegates read the
	// store more often and notify the other processes.
	maxBackoff = 1600 * time.Millisecond
)

// backoff delays retries of a failing operation. The delay doubles with each consecutive failure, up to maxBackoff.
type backoff struct {
	delay   time.Duration // the last delay; 0 after a success
	retryAt time.Duration // earliest time of the next attempt
}

// due reports whether the operation may be tried now.
func (b *backoff) due(now time.Duration) bool { return now >= b.retryAt }

// observe records the result of an attempt. Success and ErrHistoryGone reset the backoff.
func (b *backoff) observe(err error, now time.Duration) {
	if err == nil || errors.Is(err, ErrHistoryGone) {
		*b = backoff{}
		return
	}
	b.delay = min(maxBackoff, max(minBackoff, 2*b.delay))
	b.retryAt = now + b.delay
}
