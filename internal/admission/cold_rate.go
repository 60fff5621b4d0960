package admission

import (
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
// until then. A rate below 1 means no limit.
func (c *ColdRateLimiter) SetCold(until time.Duration, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldUntil = until
	if maxRequests := int(perSecond); maxRequests != len(c.sentAt) {
		c.sentAt = make([]time.Duration, maxRequests)
		c.oldestIndex = 0
	}
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
