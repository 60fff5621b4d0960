package admission

import (
	"sync"
	"time"
)

const coldRateWindow = time.Second // over which a cold endpoint's requests are counted

// ColdRate bounds the requests that a cold endpoint is sent in any second. It answers the load of callers who come back
// together when an endpoint has started, while it still fills its caches. It is safe for concurrent use.
type ColdRate struct {
	mu          sync.Mutex
	coldUntil   time.Duration   // the endpoint is cold until then
	sentAt      []time.Duration // the last requests, as many as a cold endpoint bears; next is the oldest
	oldestIndex int
}

// SetCold says that the endpoint is cold until the time and bears perSecond requests a second meanwhile; 0 for no bound.
func (c *ColdRate) SetCold(until time.Duration, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldUntil = until
	if maxRequests := int(perSecond); maxRequests != len(c.sentAt) {
		c.sentAt = make([]time.Duration, maxRequests)
		c.oldestIndex = 0
	}
}

// Admit counts a request that is sent now, on the clock of SetCold, or returns false if it would be one too many.
func (c *ColdRate) Admit(now time.Duration) bool {
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
