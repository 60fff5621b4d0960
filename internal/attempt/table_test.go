package attempt

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/wire"
)

var startTime = time.Unix(1000, 0)

// addFinished adds an attempt that has ended with an answer of the given size.
func addFinished(t *testing.T, table *Table, id core.AttemptID, idempotent bool, answer int, now time.Time) {
	t.Helper()
	record, isNew, err := table.Begin(Spec{ID: id, Mark: table.Mark(now), Idempotent: idempotent}, now)
	if err != nil || !isNew {
		t.Fatalf("%s: isNew %t, %v", id, isNew, err)
	}
	if err := record.Append(make([]byte, answer)); err != nil {
		t.Fatal(err)
	}
	record.Finish(wire.Load{})
}

func TestAttemptEitherRunsOrIsTombstoned(t *testing.T) {
	table := NewTable(startTime)
	for i := range 2000 {
		id := core.AttemptID(fmt.Sprint(i))
		var runs, tombstones atomic.Int32
		var group conc.WaitGroup
		group.Go(func() {
			if _, isNew, err := table.Begin(Spec{ID: id}, startTime); err == nil && isNew {
				runs.Add(1)
			}
		})
		group.Go(func() {
			if table.Resolve(id, 0, startTime) == wire.ResolveNeverSeen {
				tombstones.Add(1)
			}
		})
		group.Wait()
		if runs.Load()+tombstones.Load() != 1 {
			t.Fatalf("attempt %s was started %d times and tombstoned %d times, want one in total", id, runs.Load(), tombstones.Load())
		}
	}
}

func TestEvictedAttemptIsNotDeclaredNeverRun(t *testing.T) {
	table := NewTable(startTime)
	addFinished(t, table, "old", false, 10, startTime)
	late := startTime.Add(outcomeRetention)
	table.Sweep(late)
	table.Sweep(late.Add(outcomeRetention + time.Second))
	if state := table.Resolve("old", 0, late); state != wire.ResolveForgotten {
		t.Errorf("state of the evicted attempt: %s", state)
	}
	if _, _, err := table.Begin(Spec{ID: "older"}, late); !fault.Is(err, fault.WrongIncarnation) {
		t.Errorf("dispatch with a mark below the eviction mark: %v", err)
	}
	if state := table.Resolve("new", table.Mark(late), late); state != wire.ResolveNeverSeen {
		t.Errorf("state of a newer attempt: %s", state)
	}
}

func TestRetentionStartsWhenAttemptEnds(t *testing.T) {
	table := NewTable(startTime)
	record, _, _ := table.Begin(Spec{ID: "long"}, startTime)
	late := startTime.Add(2 * outcomeRetention)
	record.Finish(wire.Load{})
	table.Sweep(late)
	if state := table.Resolve("long", 0, late); state != wire.ResolveFinished {
		t.Errorf("state right after the end: %s", state)
	}
}

func TestBufferedBytesAreBounded(t *testing.T) {
	table := NewTable(startTime)
	const size = 1 << 20
	for i := range 2 * maxBufferedBytes / size {
		addFinished(t, table, core.AttemptID(fmt.Sprint(i)), i%2 == 0, size, startTime.Add(time.Duration(i)*time.Second))
		if held := table.buffer.held.Load(); held > maxBufferedBytes {
			t.Fatalf("%d bytes are buffered", held)
		}
	}
	frames, done, _ := table.Find("0", startTime).Read(&Cursor{})
	if !done || frames[0].Refusal == nil || frames[0].Refusal.Outcome != fault.Unknown {
		t.Errorf("reading the dropped answer returned %+v", frames)
	}
}

func TestRecordsAreBounded(t *testing.T) {
	table := NewTable(startTime)
	for i := range maxRecords + 10 {
		addFinished(t, table, core.AttemptID(fmt.Sprint(i)), false, 0, startTime.Add(time.Duration(i)*time.Second))
	}
	if len(table.records) > maxRecords {
		t.Errorf("%d records in the table", len(table.records))
	}
	if state := table.Resolve("0", 0, startTime); state != wire.ResolveForgotten {
		t.Errorf("state of the oldest attempt: %s", state)
	}
}

// fillWithRunning fills the table's buffer with answers of attempts that run.
func fillWithRunning(t *testing.T, table *Table) {
	t.Helper()
	for i := range maxBufferedBytes / MaxAnswerBytes {
		record, _, err := table.Begin(Spec{ID: core.AttemptID(fmt.Sprint("running", i))}, startTime)
		if err != nil {
			t.Fatal(err)
		}
		if err := record.Append(make([]byte, MaxAnswerBytes)); err != nil {
			t.Fatal(err)
		}
	}
}

func TestTableFullOfRunningAttemptsRefusesDispatch(t *testing.T) {
	table := NewTable(startTime)
	fillWithRunning(t, table)
	if _, _, err := table.Begin(Spec{ID: "next"}, startTime); !fault.Is(err, fault.Overloaded) {
		t.Errorf("dispatch to a full table: %v", err)
	}
}

// Answers without end of attempts that began while there was room must not grow beyond it together.
func TestAnswersOfRunningAttemptsAreBoundedTogether(t *testing.T) {
	const attempts, part = 20, 16 << 10
	table := NewTable(startTime)
	var records []*Record
	for i := range attempts {
		record, _, err := table.Begin(Spec{ID: core.AttemptID(fmt.Sprint(i))}, startTime)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, record)
	}
	small, _, err := table.Begin(Spec{ID: "small"}, startTime)
	if err != nil {
		t.Fatal(err)
	}
	var group conc.WaitGroup
	for _, record := range records {
		group.Go(func() {
			for range 2 * MaxAnswerBytes / part {
				if err := record.Append(make([]byte, part)); err != nil {
					if !fault.Is(err, fault.TooLarge) && !fault.Is(err, fault.LostOutcome) {
						t.Error(err)
					}
					return
				}
			}
			t.Error("an answer without end was stored")
		})
	}
	group.Wait()
	if held := table.buffer.held.Load(); held > maxBufferedBytes+attempts*GuaranteedBytes {
		t.Errorf("%d bytes are buffered", held)
	}
	if err := small.Append(make([]byte, GuaranteedBytes)); err != nil {
		t.Errorf("a small answer beside them: %v", err)
	}
}

func TestAnswersThatEndedMakeRoomForARunningOne(t *testing.T) {
	table := NewTable(startTime)
	running, _, err := table.Begin(Spec{ID: "running"}, startTime)
	if err != nil {
		t.Fatal(err)
	}
	for i := range maxBufferedBytes / MaxAnswerBytes {
		addFinished(t, table, core.AttemptID(fmt.Sprint(i)), true, MaxAnswerBytes, startTime)
	}
	if err := running.Append(make([]byte, MaxAnswerBytes)); err != nil {
		t.Errorf("an answer beside ones that have ended: %v", err)
	}
}

func TestAnswerIsReadInBoundedFrames(t *testing.T) {
	table := NewTable(startTime)
	addFinished(t, table, "large", true, 3*maxFrameBytes+10, startTime)
	cursor := Cursor{Offset: 5}
	frames, done, _ := table.Find("large", startTime).Read(&cursor)
	if !done || len(frames) != 5 || frames[0].Offset != 5 || frames[4].Kind != wire.FrameEnd {
		t.Fatalf("%d frames from offset %d", len(frames), frames[0].Offset)
	}
	for _, frame := range frames {
		if len(frame.Data) > maxFrameBytes {
			t.Errorf("a frame of %d bytes", len(frame.Data))
		}
	}
}
