package admission

import (
	"slices"
	"sync"
	"time"
)

const coldRateWindow = time.Second // sliding window of the request rate

// ColdRateLimiter limits the requests sent to a cold endpoint in any sliding window of one second. Without it, callers that
// reconnect when an endpoint starts would overload it while its caches are still empty. It is safe for concurrent
// use.
type ColdRateLimiter struct {
	mu          sync.Mutex
	coldUntil   time.Duration   // the endpoint is cold before this time
	sentAt      []time.Duration // ring buffer of send times, one slot per request allowed in the window
	oldestIndex int
}

// SetCold sets the time until which the endpoint is cold, and the number of requests per second that it may be sent
// until then. A rate below 1 means no limit. The time now is on the same clock.
func (c *ColdRateLimiter) SetCold(until time.Duration, perSecond float64, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldUntil = until
	if maxRequests := max(0, int(perSecond)); maxRequests != len(c.sentAt) {
		c.resize(maxRequests, now)
	}
}

// resize sets the number of requests in the window and keeps the latest send times. Half of a first window counts as sent now: an
// earlier process may have used its whole window just before it ended.
func (c *ColdRateLimiter) resize(maxRequests int, now time.Duration) {
	latest := slices.Concat(c.sentAt[c.oldestIndex:], c.sentAt[:c.oldestIndex])
	if len(latest) == 0 {
		latest = slices.Repeat([]time.Duration{now}, maxRequests/2)
	}
	latest = latest[max(0, len(latest)-maxRequests):]
	c.sentAt = append(make([]time.Duration, maxRequests-len(latest)), latest...)
	c.oldestIndex = 0
}

// Admit records a request that is sent now and returns true, or returns false if the endpoint is cold and the request
// would exceed the rate. It uses the same clock as SetCold.
func (c *ColdRateLimiter) Admit(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sentAt) == 0 {
		return true
	}
	oldestSentAt := c.sentAt[c.oldestIndex]
	if now < c.coldUntil && oldestSentAt > 0 && now-oldestSentAt < coldRateWindow {
		return false
	}
	c.sentAt[c.oldestIndex] = now
	c.oldestIndex = (c.oldestIndex + 1) % len(c.sentAt)
	return true
}
