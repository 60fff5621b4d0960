package admission

import (
	"sync"
	"time"
)

const coldWindow = time.Second // over which a cold endpoint's requests are counted

// ColdRate bounds the requests that a cold endpoint is sent in any second. It answers the load of callers who come back
// together when an endpoint has started, while it still fills its caches. It is safe for concurrent use.
type ColdRate struct {
	mu    sync.Mutex
	until time.Duration   // the endpoint is cold until then
	sent  []time.Duration // the last requests, as many as a cold endpoint bears; next is the oldest
	next  int
}

// SetCold says that the endpoint is cold until the time and bears perSecond requests a second meanwhile; 0 for no bound.
func (c *ColdRate) SetCold(until time.Duration, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = until
	if most := int(perSecond); most != len(c.sent) {
		c.sent = make([]time.Duration, most)
		c.next = 0
	}
}

// Admit counts a request that is sent now, on the clock of SetCold, or returns false if it would be one too many.
func (c *ColdRate) Admit(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sent) == 0 {
		return true
	}
	oldest := c.sent[c.next]
	if now < c.until && oldest > 0 && now-oldest < coldWindow {
		return false
	}
	c.sent[c.next] = now
	c.next = (c.next + 1) % len(c.sent)
	return true
}
