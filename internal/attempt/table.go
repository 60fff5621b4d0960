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
	outcomeRetention = 15 * time.Minute // its outcome
	answerRetention  = time.Minute      // the answer of an idempotent attempt
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
	startedAt time.Time
	heldBytes atomic.Int64

	mu           sync.Mutex
	records      map[core.AttemptID]*entry
	evictionMark wire.Mark
}

type entry struct {
	record     *Record
	idempotent bool
	beganAt    wire.Mark
	lastAccess time.Time
	endSeen    bool // seen by a sweep after its end
}

// NewTable returns the empty table of a life that starts now.
func NewTable(now time.Time) *Table {
	return &Table{startedAt: now, records: make(map[core.AttemptID]*entry)}
}

// Mark returns the time mark of this life.
func (t *Table) Mark(now time.Time) wire.Mark {
	return wire.Mark(now.Sub(t.startedAt) / time.Second)
}

// Begin records a dispatch before anything of it runs. Fresh is false for a copy of a dispatch that arrived before:
// the copy follows the record and runs nothing. An error says that the attempt does not and will not run.
func (t *Table) Begin(spec Start, now time.Time) (record *Record, fresh bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.records[spec.ID]
	if ok {
		e.lastAccess = now
		return joinExisting(e.record)
	}
	if spec.Mark < t.evictionMark {
		return nil, false, fault.New(fault.WrongLife, "the attempt's time mark is too old", "dispatch a new attempt with the mark of this refusal")
	}
	t.makeRoom()
	if t.heldBytes.Load() >= maxHeldBytes || len(t.records) >= maxRecords {
		overloaded := fault.New(fault.Overloaded, "the agent holds as many answers as it can", "send it to another endpoint or come back later")
		return nil, false, fault.WithRetryAfter(overloaded, 1)
	}
	return t.add(spec, wire.ResolveRunning, now), true, nil
}

func joinExisting(record *Record) (*Record, bool, error) {
	if record.State() == wire.ResolveNever {
		return nil, false, fault.New(fault.Tombstoned, "the attempt was declared never run", "dispatch a new attempt")
	}
	return record, false, nil
}

func (t *Table) add(spec Start, state wire.ResolveState, now time.Time) *Record {
	record := newRecord(spec.ID, state, &t.heldBytes)
	t.records[spec.ID] = &entry{record: record, idempotent: spec.Idempotent, beganAt: t.Mark(now), lastAccess: now}
	return record
}

// Find returns the record of an attempt, or nil.
func (t *Table) Find(id core.AttemptID, now time.Time) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.records[id]
	if !ok {
		return nil
	}
	e.lastAccess = now
	return e.record
}

// Resolve says what became of an attempt. For one never seen it writes a tombstone first, so that a late copy of the
// dispatch is refused.
func (t *Table) Resolve(id core.AttemptID, mark wire.Mark, now time.Time) wire.ResolveState {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.records[id]
	if ok {
		e.lastAccess = now
		return e.record.State()
	}
	if mark < t.evictionMark {
		return wire.ResolveForgotten
	}
	t.makeRoom()
	if len(t.records) >= maxRecords {
		return wire.ResolveForgotten
	}
	t.add(Start{ID: id}, wire.ResolveNever, now)
	return wire.ResolveNever
}
