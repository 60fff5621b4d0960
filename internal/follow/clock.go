package follow

import (
	"sync"
	"time"
)

const (
	// feedLag is the longest expected time between a change and the moment at which the response to a waiting read leaves
	// the store. It allows for a store that is fifty times slower than its usual 4 ms.
	feedLag = 250 * time.Millisecond
	// clockDrift is the highest assumed drift between two monotonic clocks, as a fraction of the elapsed time. It is ten
	// times that of a quartz clock.
	clockDrift = 0.0005
)

// storeClock maps times of the store's monotonic clock to this process's boot clock. A response leaves the store after
// its read was sent, so each read gives a lower bound for the offset between the clocks. The bound is tight for a read
// that did not wait. A storeClock is safe for concurrent use.
type storeClock struct {
	mu     sync.Mutex
	known  bool
	offset time.Duration // lower bound of the boot clock's time minus the store's time
	at     time.Duration // when the last observed read was sent, on the boot clock
}

// observe updates the offset from a read that was sent at the boot clock time sent. The response left the store at
// storeTime on the store's clock; 0 means that this is unknown.
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

// asOf returns a boot clock time up to which the read includes all changes. The store answers a waiting read as soon as
// there is a change, so its contents are about as old as the response. Without a storeTime, the result is sent.
func (c *storeClock) asOf(sent, received, storeTime time.Duration) time.Duration {
	if storeTime == 0 {
		return sent
	}
	c.observe(sent, storeTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(sent, min(received, storeTime+c.offset)-feedLag)
}
