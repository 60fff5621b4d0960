package agent

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/attempt"
	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/wire"
)

func TestOversizedAnswerIsRejected(t *testing.T) {
	table := attempt.NewTable(time.Now())
	record, _, _ := table.Begin(attempt.Spec{ID: "large"}, time.Now())
	_, err := (&Agent{}).copyBody(context.Background(), bytes.NewReader(make([]byte, attempt.MaxAnswerBytes+1)), record)
	if !fault.Is(err, fault.TooLarge) {
		t.Errorf("got error %v, want kind TooLarge", err)
	}
}

func TestOnlyIdempotentAttemptsStopAtTheDeadline(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		ctx, cancel := attemptContext(wire.Dispatch{Idempotent: idempotent, BudgetMS: -1})
		defer cancel()
		if ended := ctx.Err() != nil; ended != idempotent {
			t.Errorf("idempotent %t: context ended is %t", idempotent, ended)
		}
	}
}

func TestTaskGroupStartsNothingAfterWait(t *testing.T) {
	var group taskGroup
	group.Go(func() {})
	group.Wait()
	if group.Go(func() { t.Error("a task ran after Wait") }) {
		t.Error("a task was accepted after Wait")
	}
}

func TestRefusedConnectionMeansNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	a := &Agent{engine: backend.NewHTTP(listener.Addr().String())}
	err = a.copyAnswer(context.Background(), wire.Dispatch{Method: "POST", Path: "/bookings"}, nil)
	if !stream.NotSent(err) || !fault.Is(err, fault.EndpointFault) {
		t.Errorf("got error %v, want an EndpointFault that was not sent", err)
	}
}

func TestSuspectRequestsRunOneAtATime(t *testing.T) {
	a := &Agent{suspectSlot: make(chan struct{}, 1)}
	if !a.acquireSuspectSlot(wire.Dispatch{BudgetMS: time.Minute.Milliseconds()}) {
		t.Error("the first suspect request got no slot")
	}
	if a.acquireSuspectSlot(wire.Dispatch{}) {
		t.Error("a second suspect request got a slot at the same time")
	}
}

// An agent that refuses an attempt because of its incarnation or mark does not know whether an earlier copy ran.
func TestOutcomeOfRefusedDispatch(t *testing.T) {
	table := attempt.NewTable(time.Unix(0, 0))
	a := &Agent{incarnation: 2, attemptTable: table}
	_, err := a.startAttempt(wire.Dispatch{Attempt: "x", Incarnation: 1})
	if got := outcomeOfRefusal(err); got != fault.Unknown {
		t.Errorf("an attempt for another incarnation is refused as %q", got)
	}
	if got := outcomeOfRefusal(fault.New(fault.Draining, "the agent is shutting down", "send it elsewhere")); got != fault.NotRun {
		t.Errorf("an attempt that this agent never started is refused as %q", got)
	}
}
