package follow

import (
	"errors"
	"testing"
	"time"
)

// A hundred processes that lose their delegates in an outage of the store must not all read it five times a second: their
// reads are refused, and cost the store's rates when it comes back.
func TestReadsOfAStoreThatIsAwayGetRarer(t *testing.T) {
	var b backoff
	reads := 0
	outage := 8 * time.Second
	for now := time.Duration(0); now < outage; now += 10 * time.Millisecond {
		if b.due(now) {
			reads++
			b.observe(errors.New("away"), now)
		}
	}
	if most := 3 + int(outage/mostBackoff); reads > most {
		t.Errorf("%d reads in %v, want at most %d", reads, outage, most)
	}
	b.observe(nil, outage)
	if !b.due(outage) {
		t.Error("a store that is back is not read at once")
	}
}

// Delegates that start together with the process have to read the store first; it need not be read by all.
func TestAStartLeavesTimeForDelegates(t *testing.T) {
	now := time.Minute
	b := backoff{until: now + startWait}
	if b.due(now + startWait - time.Millisecond) {
		t.Error("the store is read before delegates had their time")
	}
	if !b.due(now + startWait) {
		t.Error("the store is not read although no delegate answers")
	}
}
