package attempt

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const evictionDivisor = 4 // a full table evicts 1/evictionDivisor of its records or bytes

// Sweep applies the retention times: it evicts attempts that ended long ago and drops the answers of idempotent ones
// earlier.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.records {
		t.expire(id, e, now)
	}
}

// expire applies the retention times to one attempt. They count from the first sweep after the attempt's end, or from
// the last access if that is later.
func (t *Table) expire(id core.AttemptID, e *entry, now time.Time) {
	if e.record.State() == wire.ResolveRunning {
		return
	}
	if !e.endSeen {
		e.endSeen = true
		e.lastAccess = now
		return
	}
	idle := now.Sub(e.lastAccess)
	if idle > outcomeRetention {
		t.evict(id, e)
		return
	}
	if e.idempotent && idle > answerRetention {
		e.record.dropBody()
	}
}

// evict removes a record and raises the eviction mark above every time mark that the attempt can carry.
func (t *Table) evict(id core.AttemptID, e *entry) {
	e.record.dropBody()
	delete(t.records, id)
	t.evictionMark = max(t.evictionMark, e.beganAt+1)
}

// makeRoom drops answers if the buffers are full, and evicts the records accessed longest ago if there are too many.
// Running attempts are kept.
func (t *Table) makeRoom() {
	if t.buffer.held.Load() >= maxBufferedBytes {
		t.dropBodies()
	}
	if len(t.records) >= maxRecords {
		t.evictOldest()
	}
}

// dropBodies discards buffered answers of ended attempts: first those of idempotent attempts, then the others, each in
// the order of the last access.
func (t *Table) dropBodies() {
	ids := t.endedSorted(func(a, b *entry) int {
		if a.idempotent != b.idempotent && a.idempotent {
			return -1
		}
		if a.idempotent != b.idempotent {
			return 1
		}
		return a.lastAccess.Compare(b.lastAccess)
	})
	for _, id := range ids {
		if t.buffer.held.Load() < maxBufferedBytes-maxBufferedBytes/evictionDivisor {
			return
		}
		t.records[id].record.dropBody()
	}
}

func (t *Table) evictOldest() {
	ids := t.endedSorted(func(a, b *entry) int { return a.lastAccess.Compare(b.lastAccess) })
	for _, id := range ids[:min(len(ids), maxRecords/evictionDivisor)] {
		t.evict(id, t.records[id])
	}
}

// endedSorted returns the ids of the attempts that have ended, sorted by compare.
func (t *Table) endedSorted(compare func(a, b *entry) int) []core.AttemptID {
	var ended []core.AttemptID
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		if t.records[id].record.State() != wire.ResolveRunning {
			ended = append(ended, id)
		}
	}
	slices.SortStableFunc(ended, func(a, b core.AttemptID) int { return compare(t.records[a], t.records[b]) })
	return ended
}
