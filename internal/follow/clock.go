package follow

import (
	"sync"
	"time"
)

const (
	// maxFeedDelay is the longest expected time between a change and the moment at which the response to a waiting read
	// leaves the store. It allows for a store that is fifty times slower than its usual 4 ms.
	maxFeedDelay = 250 * time.Millisecond
	// maxClockDrift is the highest assumed drift between two monotonic clocks, as a fraction of the elapsed time. It is
	// ten times that of a quartz clock.
	maxClockDrift = 0.0005
)

// storeClock maps times of the store's monotonic clock to this process's boot clock. A response leaves the store after
// its read was sent, so each read gives a lower bound for the offset between the clocks. The bound is tight for a read
// that did not wait. A storeClock is safe for concurrent use.
type storeClock struct {
	mu         sync.Mutex
	hasOffset  bool
	offset     time.Duration // lower bound of the boot clock's time minus the store's time
	observedAt time.Duration // when the last observed read was sent, on the boot clock
	era        uint64        // of the store that the offset belongs to
}

// observeEra drops the offset if the store was restored from a copy, since its clock may then have a new start.
func (c *storeClock) observeEra(era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era > c.era {
		c.era, c.hasOffset = era, false
	}
}

// observe updates the offset from a read that was sent at the boot clock time sent. The response left the store at
// storeTime on the store's clock; 0 means that this is unknown.
func (c *storeClock) observe(sent, storeTime time.Duration) {
	if storeTime == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	lowerBound := sent - storeTime
	if c.hasOffset {
		agedOffset := c.offset - time.Duration(maxClockDrift*float64(sent-c.observedAt))
		lowerBound = max(lowerBound, agedOffset)
	}
	c.hasOffset, c.offset, c.observedAt = true, lowerBound, sent
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
	return max(sent, min(received, storeTime+c.offset)-maxFeedDelay)
}
