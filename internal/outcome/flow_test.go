package outcome

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// setFixedSeed makes rapid draw the same cases in every run.
func setFixedSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.checks": "4000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

func TestFlowMatchesReferenceModel(t *testing.T) {
	setFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		s := scenario{
			idempotent: rapid.Bool().Draw(t, "idempotent"),
			streaming:  rapid.Bool().Draw(t, "streaming"),
			faults:     rapid.SliceOfN(rapid.Custom(drawFault), 1, 5).Draw(t, "faults"),
		}
		if !s.idempotent {
			s.claim = claimCase(rapid.IntRange(0, int(claimCaseCount)-1).Draw(t, "claim"))
		}
		got, answer := run(s)
		if want := expected(s); got != want {
			t.Fatalf("%+v: got %+v, the reference model expects %+v", s, got, want)
		}
		if got.answered && string(answer) != answerBody {
			t.Fatalf("%+v: forwarded %q", s, answer)
		}
	})
}

func drawFault(t *rapid.T) dispatchFault {
	return dispatchFault(rapid.IntRange(0, int(dispatchFaultCount)-1).Draw(t, "fault"))
}

// invariantChecker checks the invariants that must hold for any sequence of events.
type invariantChecker struct {
	t             *rapid.T
	idempotent    bool
	currentConn   map[core.AttemptID]int // number of the latest connection, or -1 if the attempt is known not to have run
	headReceived  map[core.AttemptID]bool
	flowEnded     bool
	streamStarted bool
	picks         int
}

// drawEvent draws any event about any attempt.
func (c *invariantChecker) drawEvent() reduce.Event {
	id := core.AttemptID(fmt.Sprint("a", rapid.IntRange(0, max(0, c.picks-1)).Draw(c.t, "attempt")))
	conn := rapid.IntRange(1, 4).Draw(c.t, "connection")
	state := rapid.SampledFrom([]wire.ResolveState{
		wire.ResolveFinished, wire.ResolveRunning, wire.ResolveNeverSeen, wire.ResolveOtherIncarnation, wire.ResolveForgotten, wire.ResolveFailed, wire.ResolveRefused,
	}).Draw(c.t, "state")
	refusal := fault.RefusalOf(fault.New(fault.Overloaded, "full", "wait"), rapid.SampledFrom([]fault.Outcome{fault.NotRun, fault.Unknown}).Draw(c.t, "outcome"))
	frame := rapid.SampledFrom([]wire.Frame{
		{Kind: wire.FrameHead, Status: 200, ContentType: "text/event-stream"},
		{Kind: wire.FrameHead, Status: 200, ContentType: "application/json"},
		{Kind: wire.FrameHead, ContentType: "application/json"}, // without a status
		{Kind: wire.FrameData, Data: []byte("x")},
		{Kind: wire.FrameEnd},
		{Kind: wire.FrameRefusal, Refusal: &refusal},
	}).Draw(c.t, "frame")
	frame.Attempt = id
	c.picks++
	return rapid.SampledFrom([]reduce.Event{
		Picked{Attempt: Attempt{ID: core.AttemptID(fmt.Sprint("a", c.picks-1))}},
		PickFailed{Err: errNotReached()},
		NotSent{Attempt: id, Conn: conn, Err: errNotReached()},
		ConnLost{Attempt: id, Conn: conn},
		FrameArrived{Attempt: id, Conn: conn, Frame: frame},
		Resolved{Attempt: id, State: state},
		ResolveFailed{Attempt: id},
		HedgeDue{},
		NoRoom{},
	}).Draw(c.t, "event")
}

// recordEvent marks the attempts that an event proves not to have run.
func (c *invariantChecker) recordEvent(event reduce.Event) {
	switch event := event.(type) {
	case NotSent:
		c.markNotRun(event.Attempt, event.Conn)
	case Resolved:
		if event.State == wire.ResolveNeverSeen || event.State == wire.ResolveRefused {
			c.markNotRun(event.Attempt, c.currentConn[event.Attempt])
		}
	case FrameArrived:
		if event.Frame.Kind == wire.FrameHead && event.Frame.Status != 0 && event.Conn == c.currentConn[event.Attempt] {
			c.headReceived[event.Attempt] = true
		}
		if event.Frame.Refusal != nil && event.Frame.Refusal.Outcome == fault.NotRun {
			c.markNotRun(event.Attempt, event.Conn)
		}
	}
}

func (c *invariantChecker) markNotRun(id core.AttemptID, conn int) {
	if known, ok := c.currentConn[id]; ok && known == conn && !c.headReceived[id] {
		c.currentConn[id] = -1
	}
}

func (c *invariantChecker) anyMayHaveRun() bool {
	for _, conn := range c.currentConn {
		if conn != -1 {
			return true
		}
	}
	return false
}

func (c *invariantChecker) checkEffect(effect reduce.Effect) {
	if c.flowEnded {
		c.t.Fatalf("effect %T after the flow ended", effect)
	}
	switch effect := effect.(type) {
	case Dispatch:
		if c.anyMayHaveRun() && !c.idempotent {
			c.t.Fatal("dispatched a request that is not idempotent again while an attempt may have run")
		}
		c.currentConn[effect.Attempt.ID] = effect.Conn
	case Attach:
		c.currentConn[effect.Attempt.ID] = effect.Conn
	case ForwardHead:
		if c.streamStarted {
			c.t.Fatal("a stream that had been started was restarted")
		}
		c.streamStarted = isEventStream(effect.ContentType)
	case Fail:
		c.flowEnded = true
		if effect.Outcome == fault.NotRun && c.anyMayHaveRun() {
			c.t.Fatal("outcome NotRun for a request that may have run")
		}
	case Complete:
		c.flowEnded = true
	}
}

func TestFlowKeepsInvariantsUnderRandomEvents(t *testing.T) {
	setFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		checker := &invariantChecker{t: t, idempotent: rapid.Bool().Draw(t, "idempotent"), currentConn: make(map[core.AttemptID]int), headReceived: make(map[core.AttemptID]bool)}
		flow := NewFlow(Request{Idempotent: checker.idempotent})
		var event reduce.Event = Started{}
		for range 30 {
			checker.recordEvent(event)
			for _, effect := range flow.Step(event) {
				checker.checkEffect(effect)
			}
			event = checker.drawEvent()
		}
	})
}

func TestSlowerHedgedAttemptIsCancelled(t *testing.T) {
	flow := NewFlow(Request{Idempotent: true})
	flow.Step(Started{})
	flow.Step(Picked{Attempt: Attempt{ID: "slow"}})
	if effects := flow.Step(HedgeDue{}); len(effects) != 1 || !effects[0].(Pick).Retry {
		t.Fatalf("no hedge was picked on the retry budget: %v", effects)
	}
	flow.Step(Picked{Attempt: Attempt{ID: "fast"}})
	effects := flow.Step(FrameArrived{Attempt: "fast", Conn: 1, Frame: wire.Frame{Kind: wire.FrameHead, Attempt: "fast", Status: 200}})
	if len(effects) != 3 || effects[2].(Cancel).Attempt.ID != "slow" {
		t.Fatalf("the slow attempt was not cancelled: %v", effects)
	}
	if late := flow.Step(FrameArrived{Attempt: "slow", Conn: 1, Frame: wire.Frame{Kind: wire.FrameHead, Attempt: "slow", Status: 200}}); late != nil {
		t.Fatalf("the answer of the cancelled attempt was accepted: %v", late)
	}
}

func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	flow := NewFlow(Request{})
	flow.Step(Started{})
	flow.Step(Picked{Attempt: Attempt{ID: "only"}})
	if effects := flow.Step(HedgeDue{}); effects != nil {
		t.Fatalf("a request that is not idempotent was hedged: %v", effects)
	}
}

// newClaimedFlow returns a flow that has claimed its key for the attempt "own" and dispatched it.
func newClaimedFlow() *Flow {
	flow := NewFlow(Request{ClaimRequired: true})
	flow.Step(Started{})
	flow.Step(Picked{Attempt: Attempt{ID: "own"}})
	flow.Step(ClaimWritten{Attempt: "own", Revision: 1})
	return flow
}

func TestTombstonedAttemptFollowsMovedClaim(t *testing.T) {
	flow := newClaimedFlow()
	refusal := fault.RefusalOf(fault.New(fault.Tombstoned, "never", "send anew"), fault.NotRun)
	flow.Step(FrameArrived{Attempt: "own", Conn: 1, Frame: wire.Frame{Kind: wire.FrameRefusal, Attempt: "own", Refusal: &refusal}})
	if effects := flow.Step(PickFailed{Err: errNotReached()}); len(effects) != 1 || effects[0] != (ReadClaim{}) {
		t.Fatalf("the claim was not read: %v", effects)
	}
	effects := flow.Step(ClaimFound{Attempt: Attempt{ID: "other"}, Revision: 2, SameContent: true})
	if len(effects) != 1 || effects[0].(Resolve).Attempt.ID != "other" {
		t.Fatalf("the attempt that the claim names was not resolved: %v", effects)
	}
}

func TestUnmovedClaimMeansNotRun(t *testing.T) {
	flow := newClaimedFlow()
	flow.Step(ConnLost{Attempt: "own", Conn: 1})
	flow.Step(Resolved{Attempt: "own", State: wire.ResolveNeverSeen})
	flow.Step(PickFailed{Err: errNotReached()})
	effects := flow.Step(ClaimFound{Attempt: Attempt{ID: "own"}, Revision: 1, SameContent: true})
	if len(effects) != 1 || effects[0].(Fail).Outcome != fault.NotRun {
		t.Fatalf("the outcome is not NotRun: %v", effects)
	}
}

// BenchmarkRequest measures the cost of a whole request in the state machine, including the fake environment.
func BenchmarkRequest(b *testing.B) {
	for name, s := range map[string]scenario{
		"answered": {faults: []dispatchFault{noFault}},
		"resumed":  {faults: []dispatchFault{cutMidAnswer}},
		"claimed":  {claim: claimFree, faults: []dispatchFault{noFault}},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				run(s)
			}
		})
	}
}

// An agent cannot rule out that it ran an earlier copy of an attempt that it refuses because of its mark or incarnation.
// The entry, which sent only one, dispatches another.
func TestDispatchRefusedForItsMarkHasNotRun(t *testing.T) {
	refusal := fault.RefusalOf(fault.New(fault.WrongIncarnation, "the mark is too old", "dispatch another"), fault.Unknown)
	f := NewFlow(Request{})
	f.Step(Started{})
	f.Step(Picked{Attempt: Attempt{ID: "a"}})
	effects := f.Step(FrameArrived{Attempt: "a", Conn: 1, Frame: wire.Frame{Kind: wire.FrameRefusal, Attempt: "a", Refusal: &refusal}})
	if len(effects) != 1 || f.Done() {
		t.Fatalf("the refusal of the only dispatch ended the request: %+v", effects)
	}
	if _, picks := effects[0].(Pick); !picks {
		t.Errorf("%+v", effects)
	}
	resumed := NewFlow(Request{})
	resumed.Step(Started{})
	resumed.Step(Picked{Attempt: Attempt{ID: "a"}})
	resumed.Step(ConnLost{Attempt: "a", Conn: 1})
	resumed.Step(Resolved{Attempt: "a", State: wire.ResolveRunning})
	effects = resumed.Step(FrameArrived{Attempt: "a", Conn: 2, Frame: wire.Frame{Kind: wire.FrameRefusal, Attempt: "a", Refusal: &refusal}})
	if len(effects) != 1 || effects[0].(Fail).Outcome != fault.Unknown {
		t.Errorf("an attempt that may run was taken for one that did not: %+v", effects)
	}
}

// headOf returns the head of the attempt's answer on its first connection.
func headOf(id core.AttemptID, status int) FrameArrived {
	return FrameArrived{Attempt: id, Conn: 1, Frame: wire.Frame{Kind: wire.FrameHead, Attempt: id, Status: status, ContentType: "application/json"}}
}

// A head without a status would be sent to the caller with status 200.
func TestHeadWithoutASoundStatusIsNotForwarded(t *testing.T) {
	for _, status := range []int{0, 42, 101, 600} {
		flow := NewFlow(Request{Idempotent: true})
		flow.Step(Started{})
		flow.Step(Picked{Attempt: Attempt{ID: "a"}})
		for _, effect := range flow.Step(headOf("a", status)) {
			if head, forwarded := effect.(ForwardHead); forwarded {
				t.Errorf("status %d is forwarded as %d", status, head.Status)
			}
		}
	}
}

func TestAnswerLargerThanAnAgentStoresFails(t *testing.T) {
	flow := NewFlow(Request{Idempotent: true})
	flow.Step(Started{})
	flow.Step(Picked{Attempt: Attempt{ID: "a"}})
	flow.Step(headOf("a", 200))
	part := make([]byte, 64<<10)
	for offset := 0; offset <= 2*wire.MaxAnswerBytes; offset += len(part) {
		effects := flow.Step(FrameArrived{Attempt: "a", Conn: 1, Frame: wire.Frame{Kind: wire.FrameData, Attempt: "a", Offset: int64(offset), Data: part}})
		if !flow.Done() {
			continue
		}
		failed, _ := effects[len(effects)-1].(Fail)
		if offset != wire.MaxAnswerBytes || !fault.Is(failed.Err, fault.TooLarge) || failed.Outcome != fault.Unknown {
			t.Errorf("after %d bytes: %v, outcome %q", offset, failed.Err, failed.Outcome)
		}
		return
	}
	t.Error("an answer without end is forwarded")
}

func TestAnswerThatCannotBeStoredHasAnUnknownOutcome(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		flow := NewFlow(Request{Idempotent: idempotent})
		flow.Step(Started{})
		flow.Step(Picked{Attempt: Attempt{ID: "a"}})
		flow.Step(headOf("a", 200))
		effects := flow.Step(NoRoom{})
		failed, _ := effects[len(effects)-1].(Fail)
		if !flow.Done() || !fault.Is(failed.Err, fault.LostOutcome) || failed.Outcome != fault.Unknown {
			t.Errorf("idempotent %v: %v, outcome %q", idempotent, failed.Err, failed.Outcome)
		}
	}
}
