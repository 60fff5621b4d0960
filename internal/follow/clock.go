package follow

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	// feedLag is how much later than a change the answer to a waiting read may leave the store: a store that is fifty
	// times slower than its usual 4 ms.
	feedLag = 250 * time.Millisecond
	// clockDrift is by how much two steady clocks may drift apart, as a share of the time: ten times a quartz clock's.
	clockDrift = 0.0005
)

// storeClock places the store's steady clock on this process's boot clock. An answer leaves the store after its read was
// sent, so each read bounds from below where the store's clock stands; a read that did not wait bounds it closely.
type storeClock struct {
	known  bool
	offset time.Duration // of the boot clock against the store's, at least
	at     time.Duration // of the last observation, on the boot clock
}

func (c *storeClock) observe(sent, storeTime time.Duration) {
	lower := sent - storeTime
	if c.known {
		aged := c.offset - time.Duration(clockDrift*float64(sent-c.at))
		lower = max(lower, aged)
	}
	c.known, c.offset, c.at = true, lower, sent
}

// named returns when the wanted versions of the read were named at the earliest. A read that waits is answered as soon
// as there is a change, so that the change is about as old as the answer; any other change is newer than the read
// before, which ended when this one was sent.
func (c *storeClock) named(sent, received time.Duration, changes OperatorChanges) map[core.Model]time.Duration {
	if changes.StoreTime == 0 {
		return nil
	}
	c.observe(sent, changes.StoreTime)
	if changes.Whole {
		return nil // it lists versions of any age
	}
	earliest := max(sent, min(received, changes.StoreTime+c.offset)-feedLag)
	named := make(map[core.Model]time.Duration, len(changes.Wanted))
	for model := range changes.Wanted {
		named[model] = earliest
	}
	return named
}
