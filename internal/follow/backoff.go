package follow

import (
	"errors"
	"time"
)

const (
	// leastBackoff follows a first failed read of the store by a process that others read for.
	leastBackoff = 200 * time.Millisecond
	// mostBackoff keeps a hundred processes below a tenth of the store's rates while it is away; delegates read it more
	// often and tell the others.
	mostBackoff = 1600 * time.Millisecond
)

// backoff says when something that fails may be tried again. The pause doubles with each failure in a row.
type backoff struct {
	pause time.Duration
	until time.Duration
}

// due tells whether it may be tried now.
func (b *backoff) due(now time.Duration) bool { return now >= b.until }

func (b *backoff) observe(err error, now time.Duration) {
	if err == nil || errors.Is(err, ErrHistoryGone) {
		*b = backoff{}
		return
	}
	b.pause = min(mostBackoff, max(leastBackoff, 2*b.pause))
	b.until = now + b.pause
}
