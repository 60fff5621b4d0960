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

// fixSeed makes every run of rapid draw the same cases.
func fixSeed(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.checks": "4000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

func TestFlowAgreesWithNaiveVersion(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		s := script{
			idempotent: rapid.Bool().Draw(t, "idempotent"),
			streaming:  rapid.Bool().Draw(t, "streaming"),
			fates:      rapid.SliceOfN(rapid.Custom(drawFate), 1, 5).Draw(t, "fates"),
		}
		if !s.idempotent {
			s.claim = claimFate(rapid.IntRange(0, int(claimFates)-1).Draw(t, "claim"))
		}
		got, answer := play(s)
		if want := naive(s); got != want {
			t.Fatalf("%+v came to %+v, the naive version says %+v", s, got, want)
		}
		if got.answered && string(answer) != body {
			t.Fatalf("%+v passed on %q", s, answer)
		}
	})
}

func drawFate(t *rapid.T) fate { return fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate")) }

// monitor checks what must hold under any events at all.
type monitor struct {
	t          *rapid.T
	idempotent bool
	sent       map[core.AttemptID]int // connection, -1 once it was proved not to have run
	headed     map[core.AttemptID]bool
	ended      bool
	streamed   bool
	next       int
}

// event draws any event about any attempt.
func (m *monitor) event() reduce.Event {
	id := core.AttemptID(fmt.Sprint("a", rapid.IntRange(0, max(0, m.next-1)).Draw(m.t, "attempt")))
	conn := rapid.IntRange(1, 4).Draw(m.t, "connection")
	state := rapid.SampledFrom([]wire.ResolveState{
		wire.ResolveFinished, wire.ResolveRunning, wire.ResolveNever, wire.ResolveOtherLife, wire.ResolveForgotten, wire.ResolveFailed, wire.ResolveRefused,
	}).Draw(m.t, "state")
	refusal := fault.RefusalOf(fault.New(fault.Overloaded, "full", "wait"), rapid.SampledFrom([]fault.Outcome{fault.NotRun, fault.Unknown}).Draw(m.t, "outcome"))
	frame := rapid.SampledFrom([]wire.Frame{
		{Kind: wire.FrameHead, ContentType: "text/event-stream"},
		{Kind: wire.FrameHead, ContentType: "application/json"},
		{Kind: wire.FrameData, Data: []byte("x")},
		{Kind: wire.FrameEnd},
		{Kind: wire.FrameRefusal, Refusal: &refusal},
	}).Draw(m.t, "frame")
	frame.Attempt = id
	m.next++
	return rapid.SampledFrom([]reduce.Event{
		Picked{Attempt: Attempt{ID: core.AttemptID(fmt.Sprint("a", m.next-1))}},
		PickFailed{Err: errNotReached()},
		NotSent{Attempt: id, Conn: conn, Err: errNotReached()},
		Lost{Attempt: id, Conn: conn},
		FrameArrived{Attempt: id, Conn: conn, Frame: frame},
		Resolved{Attempt: id, State: state},
		ResolveFailed{Attempt: id},
		HedgeDue{},
	}).Draw(m.t, "event")
}

// hear notes which attempts an event proves not to have run.
func (m *monitor) hear(event reduce.Event) {
	switch event := event.(type) {
	case NotSent:
		m.prove(event.Attempt, event.Conn)
	case Resolved:
		if event.State == wire.ResolveNever || event.State == wire.ResolveRefused {
			m.prove(event.Attempt, m.sent[event.Attempt])
		}
	case FrameArrived:
		if event.Frame.Kind == wire.FrameHead && event.Conn == m.sent[event.Attempt] {
			m.headed[event.Attempt] = true
		}
		if event.Frame.Refusal != nil && event.Frame.Refusal.Outcome == fault.NotRun {
			m.prove(event.Attempt, event.Conn)
		}
	}
}

func (m *monitor) prove(id core.AttemptID, conn int) {
	if known, ok := m.sent[id]; ok && known == conn && !m.headed[id] {
		m.sent[id] = -1
	}
}

func (m *monitor) open() bool {
	for _, conn := range m.sent {
		if conn != -1 {
			return true
		}
	}
	return false
}

func (m *monitor) see(effect reduce.Effect) {
	if m.ended {
		m.t.Fatalf("%T after the end", effect)
	}
	switch effect := effect.(type) {
	case Dispatch:
		if m.open() && !m.idempotent {
			m.t.Fatal("dispatched again while an attempt may have run")
		}
		m.sent[effect.Attempt.ID] = effect.Conn
	case Attach:
		m.sent[effect.Attempt.ID] = effect.Conn
	case PassHead:
		if m.streamed {
			m.t.Fatal("a stream that had begun was restarted")
		}
		m.streamed = streams(effect.ContentType)
	case Refuse:
		m.ended = true
		if effect.Outcome == fault.NotRun && m.open() {
			m.t.Fatal("not run was said of a request that may have run")
		}
	case Answer:
		m.ended = true
	}
}

func TestFlowHoldsUnderAnyEvents(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		m := &monitor{t: t, idempotent: rapid.Bool().Draw(t, "idempotent"), sent: make(map[core.AttemptID]int), headed: make(map[core.AttemptID]bool)}
		flow := NewFlow(Request{Idempotent: m.idempotent})
		var event reduce.Event = Started{}
		for range 30 {
			m.hear(event)
			for _, effect := range flow.Step(event) {
				m.see(effect)
			}
			event = m.event()
		}
	})
}

func TestHedgeIsDroppedOnceTheOtherAnswers(t *testing.T) {
	flow := NewFlow(Request{Idempotent: true})
	flow.Step(Started{})
	flow.Step(Picked{Attempt: Attempt{ID: "slow"}})
	if effects := flow.Step(HedgeDue{}); len(effects) != 1 || !effects[0].(Pick).Again {
		t.Fatalf("no hedge on the budget: %v", effects)
	}
	flow.Step(Picked{Attempt: Attempt{ID: "fast"}})
	effects := flow.Step(FrameArrived{Attempt: "fast", Conn: 1, Frame: wire.Frame{Kind: wire.FrameHead, Attempt: "fast"}})
	if len(effects) != 3 || effects[2].(Cancel).Attempt.ID != "slow" {
		t.Fatalf("the slow attempt was not cancelled: %v", effects)
	}
	if late := flow.Step(FrameArrived{Attempt: "slow", Conn: 1, Frame: wire.Frame{Kind: wire.FrameHead, Attempt: "slow"}}); late != nil {
		t.Fatalf("a late answer was taken: %v", late)
	}
}

func TestNoHedgeOfNonIdempotentRequest(t *testing.T) {
	flow := NewFlow(Request{})
	flow.Step(Started{})
	flow.Step(Picked{Attempt: Attempt{ID: "only"}})
	if effects := flow.Step(HedgeDue{}); effects != nil {
		t.Fatalf("hedged: %v", effects)
	}
}

// claimedFlow returns a flow whose claim names the attempt "own", which was dispatched.
func claimedFlow() *Flow {
	flow := NewFlow(Request{Claimed: true})
	flow.Step(Started{})
	flow.Step(Picked{Attempt: Attempt{ID: "own"}})
	flow.Step(ClaimWritten{Attempt: "own", Revision: 1})
	return flow
}

func TestTombstonedAttemptFollowsTheMovedClaim(t *testing.T) {
	flow := claimedFlow()
	refusal := fault.RefusalOf(fault.New(fault.Tombstoned, "never", "send anew"), fault.NotRun)
	flow.Step(FrameArrived{Attempt: "own", Conn: 1, Frame: wire.Frame{Kind: wire.FrameRefusal, Attempt: "own", Refusal: &refusal}})
	if effects := flow.Step(PickFailed{Err: errNotReached()}); len(effects) != 1 || effects[0] != (ReadClaim{}) {
		t.Fatalf("the claim was not read: %v", effects)
	}
	effects := flow.Step(ClaimStands{Attempt: Attempt{ID: "other"}, Revision: 2, Same: true})
	if len(effects) != 1 || effects[0].(Resolve).Attempt.ID != "other" {
		t.Fatalf("the claim's attempt was not asked for: %v", effects)
	}
}

func TestUnmovedClaimProvesNotRun(t *testing.T) {
	flow := claimedFlow()
	flow.Step(Lost{Attempt: "own", Conn: 1})
	flow.Step(Resolved{Attempt: "own", State: wire.ResolveNever})
	flow.Step(PickFailed{Err: errNotReached()})
	effects := flow.Step(ClaimStands{Attempt: Attempt{ID: "own"}, Revision: 1, Same: true})
	if len(effects) != 1 || effects[0].(Refuse).Outcome != fault.NotRun {
		t.Fatalf("not run was not said: %v", effects)
	}
}

// BenchmarkRequest gives the reducer's cost of a whole request, that of the fake world around it included.
func BenchmarkRequest(b *testing.B) {
	for name, s := range map[string]script{
		"answered": {fates: []fate{whole}},
		"resumed":  {fates: []fate{resumed}},
		"claimed":  {claim: free, fates: []fate{whole}},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				play(s)
			}
		})
	}
}
