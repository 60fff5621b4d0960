package follow

import (
	"sync"
	"time"
)

const (
	// feedLag is how much later than a change the answer that brings it may leave the store: a store that is fifty times
	// slower than its usual 4 ms.
	feedLag = 250 * time.Millisecond
	// clockDrift is by how much two steady clocks may drift apart, as a share of the time: ten times a quartz clock's.
	clockDrift = 0.0005
)

// storeClock places the store's steady clock on this process's boot clock. An answer leaves the store after its read was
// sent, so each read bounds from below where the store's clock stands; a read that did not wait bounds it closely. It is
// safe for concurrent use.
type storeClock struct {
	mu     sync.Mutex
	known  bool
	offset time.Duration // of the boot clock against the store's, at least
	at     time.Duration // of the last observation, on the boot clock
}

// observe takes note of an answer that left the store at the time of its clock, 0 for an unknown one.
func (c *storeClock) observe(sent, storeTime time.Duration) {
	if storeTime == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	lower := sent - storeTime
	if c.known {
		aged := c.offset - time.Duration(clockDrift*float64(sent-c.at))
		lower = max(lower, aged)
	}
	c.known, c.offset, c.at = true, lower, sent
}

// asOf returns the moment until which the read holds all changes, at the earliest. A read that waits is answered as soon
// as there is a change, so that what it brings is about as old as the answer.
func (c *storeClock) asOf(sent, received, storeTime time.Duration) time.Duration {
	if storeTime == 0 {
		return sent
	}
	c.observe(sent, storeTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(sent, min(received, storeTime+c.offset)-feedLag)
}
