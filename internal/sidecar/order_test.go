package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// lateEngine leaves its first order for a version unanswered, and accepts it when a staged chunk is replaced.
type lateEngine struct {
	*fakeEngine
	lateVersion int64
	unanswered  chan struct{} // closed when the order arrives
	order       func()        // accepts the order; nil before it arrives and after it was accepted
}

func (e *lateEngine) Load(ctx context.Context, m core.Model, version, ordersAccepted int64) (LoadResult, error) {
	if version == e.lateVersion && e.order == nil && !e.hasArrived() {
		e.order = func() { _, _ = e.fakeEngine.Load(ctx, m, version, ordersAccepted) }
		close(e.unanswered)
		return LoadRejected, fault.New(fault.Interrupted, "the order got no answer", "look at the engine's report")
	}
	return e.fakeEngine.Load(ctx, m, version, ordersAccepted)
}

func (e *lateEngine) hasArrived() bool {
	select {
	case <-e.unanswered:
		return true
	default:
		return false
	}
}

func (e *lateEngine) StageChunk(ctx context.Context, m core.Model, chunk int, raw []byte) error {
	err := e.fakeEngine.StageChunk(ctx, m, chunk, raw)
	if e.order != nil && string(raw) != string(chunkData(e.lateVersion, chunk)) {
		e.order()
		e.order = nil
	}
	return err
}

func TestNewerVersionIsLoadedAfterAnUnansweredOrder(t *testing.T) {
	engine := &lateEngine{fakeEngine: &fakeEngine{staged: make(map[int][]byte), corruptChunk: -1}, lateVersion: 2, unanswered: make(chan struct{})}
	source := &fakeSource{}
	s := newSidecar(t, engine, &fakeOrigin{}, source, "127.0.0.1:9")
	waitFor(t, "version 1", func() bool { return s.servingVersion.Load() == 1 })
	source.requestVersion(2)
	waitFor(t, "the order that is not answered", engine.hasArrived)
	source.requestVersion(3)
	waitFor(t, "version 3", func() bool { return s.servingVersion.Load() == 3 })
	if _, _, wrong := engine.state(); wrong > 0 {
		t.Errorf("%d chunks of another version were loaded", wrong)
	}
}

func TestOrderStaysOpenUntilTheEngineAcceptsAnotherOrStartsAgain(t *testing.T) {
	started := time.UnixMilli(1_700_000_000_000)
	order := &openOrder{report: EngineReport{StartedAt: started, OrdersAccepted: 4}, sentAt: time.Second}
	for _, test := range []struct {
		name string
		now  EngineReport
		want bool
	}{
		{"nothing has changed", EngineReport{StartedAt: started, OrdersAccepted: 4}, true},
		{"it or its repetition was accepted", EngineReport{StartedAt: started, OrdersAccepted: 5}, false},
		{"the engine has started again", EngineReport{StartedAt: started.Add(time.Second), OrdersAccepted: 4}, false},
	} {
		if got := order.isOpen(test.now, 2*time.Second); got != test.want {
			t.Errorf("%s: open is %v", test.name, got)
		}
	}
	if (*openOrder)(nil).isOpen(EngineReport{}, 0) {
		t.Error("an order that was never sent is open")
	}
}

func TestRejectedRepetitionLeavesTheOrderOpen(t *testing.T) {
	u := &updater{sidecar: &Sidecar{}, open: &openOrder{sentAt: time.Second}}
	if u.recordOutcome(nil, LoadRejected, nil); u.open == nil {
		t.Error("an order that the engine may still accept is closed")
	}
	if u.recordOutcome(nil, LoadStarted, nil); u.open != nil {
		t.Error("an accepted order stays open")
	}
	u.recordOutcome(nil, LoadRejected, fault.New(fault.EndpointFault, "status 500", "see the engine's log"))
	if u.open != nil {
		t.Error("an order that was answered with an error is open")
	}
}

func TestOrderIsNotOpenForEver(t *testing.T) {
	order := &openOrder{sentAt: time.Second}
	if !order.isOpen(EngineReport{}, time.Second+lateCallTime-1) || order.isOpen(EngineReport{}, time.Second+lateCallTime) {
		t.Error("the order does not end with the time within which engines carry out late calls")
	}
}

func TestChunkIsNotStagedUnderAnOpenWriteOfAnotherVersion(t *testing.T) {
	started := time.UnixMilli(1_700_000_000_000)
	u := &updater{openWrites: make(map[int]openWrite), report: EngineReport{StartedAt: started}}
	u.recordWrite(3, 5, fault.New(fault.Interrupted, "no answer", "look at the chunk"))
	if u.mayBeOverwritten(3, 5) || u.mayBeOverwritten(2, 6) || !u.mayBeOverwritten(3, 6) {
		t.Error("only another version's chunk with the same number may be overwritten")
	}
	u.report.StartedAt = started.Add(time.Second)
	if u.mayBeOverwritten(3, 6) {
		t.Error("a write to an engine that has ended is open")
	}
}
