package attempt

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Bounds of a table.
const (
	MaxAnswerBytes = 16 << 20 // of one answer
	maxHeldBytes   = 48 << 20 // of all held answers
	maxRecords     = 64 << 10
)

// Retention times, from when an attempt was seen to have ended and last asked for.
const (
	retention       = 15 * time.Minute // its outcome
	answerRetention = time.Minute      // the answer of an idempotent attempt
)

// Start is what a dispatch says of its attempt.
type Start struct {
	ID         core.AttemptID
	Mark       wire.Mark
	Idempotent bool
}

// Table remembers the attempts of one life of an agent. What it forgets raises a horizon: of an attempt whose mark is
// below the horizon the table cannot tell whether it was forgotten or never seen, so it neither runs it nor says that
// it did not run. It is safe for concurrent use.
type Table struct {
	start time.Time
	held  atomic.Int64

	mu      sync.Mutex
	records map[core.AttemptID]*entry
	horizon wire.Mark
}

type entry struct {
	record     *Record
	idempotent bool
	begun      wire.Mark
	touched    time.Time
	ended      bool // seen by a sweep after its end
}

// NewTable returns the empty table of a life that starts now.
func NewTable(now time.Time) *Table {
	return &Table{start: now, records: make(map[core.AttemptID]*entry)}
}

// Mark returns the time mark of this life.
func (t *Table) Mark(now time.Time) wire.Mark {
	return wire.Mark(now.Sub(t.start) / time.Second)
}

// Begin records a dispatch before anything of it runs. Fresh is false for a copy of a dispatch that arrived before:
// the copy follows the record and runs nothing. An error says that the attempt does not and will not run.
func (t *Table) Begin(start Start, now time.Time) (record *Record, fresh bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.records[start.ID]
	if ok {
		known.touched = now
		return follow(known.record)
	}
	if start.Mark < t.horizon {
		return nil, false, fault.New(fault.WrongLife, "the attempt's time mark is too old", "dispatch a new attempt with the mark of this refusal")
	}
	t.makeRoom()
	if t.held.Load() >= maxHeldBytes || len(t.records) >= maxRecords {
		full := fault.New(fault.Overloaded, "the agent holds as many answers as it can", "send it to another endpoint or come back later")
		return nil, false, fault.WithRetryAfter(full, 1)
	}
	return t.add(start, wire.ResolveRunning, now), true, nil
}

func follow(record *Record) (*Record, bool, error) {
	if record.State() == wire.ResolveNever {
		return nil, false, fault.New(fault.Tombstoned, "the attempt was declared never run", "dispatch a new attempt")
	}
	return record, false, nil
}

func (t *Table) add(start Start, state wire.ResolveState, now time.Time) *Record {
	record := newRecord(start.ID, state, &t.held)
	t.records[start.ID] = &entry{record: record, idempotent: start.Idempotent, begun: t.Mark(now), touched: now}
	return record
}

// Find returns the record of an attempt, or nil.
func (t *Table) Find(id core.AttemptID, now time.Time) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.records[id]
	if !ok {
		return nil
	}
	known.touched = now
	return known.record
}

// Resolve says what became of an attempt. For one never seen it writes a tombstone first, so that a late copy of the
// dispatch is refused.
func (t *Table) Resolve(id core.AttemptID, mark wire.Mark, now time.Time) wire.ResolveState {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.records[id]
	if ok {
		known.touched = now
		return known.record.State()
	}
	if mark < t.horizon {
		return wire.ResolveForgotten
	}
	t.makeRoom()
	if len(t.records) >= maxRecords {
		return wire.ResolveForgotten
	}
	t.add(Start{ID: id}, wire.ResolveNever, now)
	return wire.ResolveNever
}
