package attempt

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Limits of a table.
const (
	MaxAnswerBytes   = wire.MaxAnswerBytes
	GuaranteedBytes  = 64 << 10 // of each answer, also while the buffer is full
	maxBufferedBytes = 48 << 20 // of all buffered answers, beside their guaranteed bytes
	maxRecords       = 64 << 10
)

// Retention times of an attempt that has ended. They count from the first sweep after its end, or from the last access
// if that is later.
const (
	outcomeRetention = 15 * time.Minute // of the outcome
	answerRetention  = time.Minute      // of the answer of an idempotent attempt
)

// Spec describes the attempt of a dispatch.
type Spec struct {
	ID         core.AttemptID
	Mark       wire.Mark
	Idempotent bool
}

// Table records the attempts of one incarnation of an agent. Each eviction raises evictionMark to a time mark that is
// newer than the evicted attempt's. For an unknown attempt with an older mark the table cannot tell whether it was
// evicted or never seen, so it refuses a dispatch and resolves the attempt as forgotten. Table is safe for concurrent
// use.
type Table struct {
	startedAt time.Time
	buffer    buffer

	mu           sync.Mutex
	records      map[core.AttemptID]*entry
	evictionMark wire.Mark // attempts with older marks may have been evicted
}

type entry struct {
	record     *Record
	idempotent bool
	beganAt    wire.Mark
	lastAccess time.Time
	endSeen    bool // a sweep has seen that it ended
}

// NewTable returns an empty table for an incarnation that starts now.
func NewTable(now time.Time) *Table {
	t := &Table{startedAt: now, records: make(map[core.AttemptID]*entry)}
	t.buffer.makeRoom = func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.dropBodies()
	}
	return t
}

// buffer counts the bytes of the buffered answers of a table.
type buffer struct {
	held     atomic.Int64
	ended    atomic.Int64 // part of held: of attempts that have ended, which may be dropped
	makeRoom func()       // drops answers of attempts that have ended
}

// reserve adds n bytes. It returns false if the buffer is full even without the answers of attempts that have ended.
func (b *buffer) reserve(n int64) bool {
	if b.held.Add(n) <= maxBufferedBytes {
		return true
	}
	if b.ended.Load() > 0 {
		b.makeRoom()
	}
	return b.held.Load() <= maxBufferedBytes
}

func (b *buffer) release(n int64) { b.held.Add(-n) }

// Mark returns the time mark of now: whole seconds since the start of this incarnation.
func (t *Table) Mark(now time.Time) wire.Mark {
	return wire.Mark(now.Sub(t.startedAt) / time.Second)
}

// Begin records a dispatch before any of it runs. For a duplicate of an earlier dispatch it returns the existing record
// with isNew false, and the caller must not run the attempt again. An error means that the attempt does not and will
// not run.
func (t *Table) Begin(spec Spec, now time.Time) (record *Record, isNew bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.records[spec.ID]
	if ok {
		e.lastAccess = now
		return joinExisting(e.record)
	}
	if spec.Mark < t.evictionMark {
		return nil, false, fault.New(fault.WrongIncarnation, "the attempt's time mark is too old", "dispatch a new attempt with the mark of this refusal")
	}
	t.makeRoom()
	if t.buffer.held.Load() >= maxBufferedBytes || len(t.records) >= maxRecords {
		overloaded := fault.New(fault.Overloaded, "the agent's buffer for answers is full", "send it to another endpoint or come back later")
		return nil, false, fault.WithRetryAfter(overloaded, 1)
	}
	return t.add(spec, wire.ResolveRunning, now), true, nil
}

// joinExisting returns the record of the earlier dispatch for a duplicate, or an error if the attempt is tombstoned.
func joinExisting(record *Record) (*Record, bool, error) {
	if record.State() == wire.ResolveNeverSeen {
		return nil, false, fault.New(fault.Tombstoned, "the attempt was declared never run", "dispatch a new attempt")
	}
	return record, false, nil
}

func (t *Table) add(spec Spec, state wire.ResolveState, now time.Time) *Record {
	record := newRecord(spec.ID, state, &t.buffer)
	t.records[spec.ID] = &entry{record: record, idempotent: spec.Idempotent, beganAt: t.Mark(now), lastAccess: now}
	return record
}

// Find returns the record of an attempt, or nil if there is none. It counts as an access.
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

// Resolve returns the state of an attempt. For one never seen it first writes a tombstone, so that a delayed dispatch
// is refused. It returns ResolveForgotten if the attempt may have been evicted or the table is full.
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
	t.add(Spec{ID: id}, wire.ResolveNeverSeen, now)
	return wire.ResolveNeverSeen
}
