package attempt

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Retention is how long an attempt is remembered after its last change. A dispatch cannot be under way for longer.
const Retention = 10 * time.Minute

// Table remembers attempts. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[core.AttemptID]*entry
}

type entry struct {
	record  *Record
	touched time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[core.AttemptID]*entry)}
}

// Begin records a dispatch before anything of it runs. Fresh is false for a copy of a dispatch that arrived before:
// the copy follows the record and runs nothing. A tombstoned attempt is an error of kind Tombstoned.
func (t *Table) Begin(id core.AttemptID, now time.Time) (record *Record, fresh bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.records[id]
	if !ok {
		record = newRecord(id, wire.ResolveRunning)
		t.records[id] = &entry{record: record, touched: now}
		return record, true, nil
	}
	known.touched = now
	if known.record.State() == wire.ResolveNever {
		return nil, false, fault.New(fault.Tombstoned, "the attempt was declared never run", "dispatch a new attempt")
	}
	return known.record, false, nil
}

// Find returns the record of an attempt, or nil.
func (t *Table) Find(id core.AttemptID) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.records[id]
	if !ok {
		return nil
	}
	return known.record
}

// Resolve says what became of an attempt. For one never seen it writes a tombstone first, so that a late copy of the
// dispatch is refused.
func (t *Table) Resolve(id core.AttemptID, now time.Time) wire.ResolveState {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.records[id]
	if !ok {
		t.records[id] = &entry{record: newRecord(id, wire.ResolveNever), touched: now}
		return wire.ResolveNever
	}
	return known.record.State()
}

// Sweep forgets attempts that ended and were not asked for during the retention.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, known := range t.records {
		if known.record.State() != wire.ResolveRunning && now.Sub(known.touched) > Retention {
			delete(t.records, id)
		}
	}
}
