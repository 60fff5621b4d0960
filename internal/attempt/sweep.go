package attempt

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const roomShare = 4 // a full table makes room for one record or byte in so many

// Sweep forgets attempts that ended and were not asked for during their retention.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, known := range t.records {
		t.age(id, known, now)
	}
}

func (t *Table) age(id core.AttemptID, known *entry, now time.Time) {
	if known.record.State() == wire.ResolveRunning {
		return
	}
	if !known.ended {
		known.ended = true
		known.touched = now
		return
	}
	idle := now.Sub(known.touched)
	if idle > retention {
		t.forget(id, known)
		return
	}
	if known.idempotent && idle > answerRetention {
		known.record.drop()
	}
}

// forget raises the horizon above every mark that the attempt can have been sent with.
func (t *Table) forget(id core.AttemptID, known *entry) {
	known.record.drop()
	delete(t.records, id)
	t.horizon = max(t.horizon, known.begun+1)
}

// makeRoom keeps the table within its bounds, at the cost of the attempts that ended longest ago.
func (t *Table) makeRoom() {
	if t.held.Load() >= maxHeldBytes {
		t.dropAnswers()
	}
	if len(t.records) >= maxRecords {
		t.forgetOldest()
	}
}

// dropAnswers gives up held answers, those of idempotent attempts first.
func (t *Table) dropAnswers() {
	ids := t.endedFirst(func(a, b *entry) int {
		if a.idempotent != b.idempotent && a.idempotent {
			return -1
		}
		if a.idempotent != b.idempotent {
			return 1
		}
		return a.touched.Compare(b.touched)
	})
	for _, id := range ids {
		if t.held.Load() < maxHeldBytes-maxHeldBytes/roomShare {
			return
		}
		t.records[id].record.drop()
	}
}

func (t *Table) forgetOldest() {
	ids := t.endedFirst(func(a, b *entry) int { return a.touched.Compare(b.touched) })
	for _, id := range ids[:min(len(ids), maxRecords/roomShare)] {
		t.forget(id, t.records[id])
	}
}

// endedFirst lists the attempts that have ended, in the order given.
func (t *Table) endedFirst(compare func(a, b *entry) int) []core.AttemptID {
	var ended []core.AttemptID
	for _, id := range slices.Sorted(maps.Keys(t.records)) {
		if t.records[id].record.State() != wire.ResolveRunning {
			ended = append(ended, id)
		}
	}
	slices.SortStableFunc(ended, func(a, b core.AttemptID) int { return compare(t.records[a], t.records[b]) })
	return ended
}
