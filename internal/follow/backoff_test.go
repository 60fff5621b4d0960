package follow

import (
	"errors"
	"testing"
	"time"
)

// If a hundred processes lose their delegates during an outage of the store, they must not all read it five times per
// second. Their reads would fail, and would use up the store's rate limits when it comes back.
func TestBackoffLimitsReadsDuringStoreOutage(t *testing.T) {
	var b backoff
	reads := 0
	outage := 8 * time.Second
	for now := time.Duration(0); now < outage; now += 10 * time.Millisecond {
		if b.due(now) {
			reads++
			b.observe(errors.New("store unavailable"), now)
		}
	}
	if limit := 3 + int(outage/maxBackoff); reads > limit {
		t.Errorf("%d reads in %v, want at most %d", reads, outage, limit)
	}
	b.observe(nil, outage)
	if !b.due(outage) {
		t.Error("the store is not read at once after its return")
	}
}

// Delegates that start together with a process must first read the store. The process has to wait for them rather than
// read the store as well.
func TestStartWaitsForDelegates(t *testing.T) {
	now := time.Minute
	b := backoff{retryAt: now + startDelegateWait}
	if b.due(now + startDelegateWait - time.Millisecond) {
		t.Error("the store is read before the time for delegates has passed")
	}
	if !b.due(now + startDelegateWait) {
		t.Error("the store is not read although no delegate answers")
	}
}
