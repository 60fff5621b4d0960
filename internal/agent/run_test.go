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

func TestOversizedAnswerIsNotHeld(t *testing.T) {
	table := attempt.NewTable(time.Now())
	record, _, _ := table.Begin(attempt.Spec{ID: "large"}, time.Now())
	_, err := (&Agent{}).copyBody(context.Background(), bytes.NewReader(make([]byte, attempt.MaxAnswerBytes+1)), record)
	if !fault.Is(err, fault.TooLarge) {
		t.Errorf("the answer came to %v", err)
	}
}

func TestOnlyIdempotentAttemptsEndWithTheCallersTime(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		ctx, cancel := runContext(wire.Dispatch{Idempotent: idempotent, BudgetMS: -1})
		defer cancel()
		if ended := ctx.Err() != nil; ended != idempotent {
			t.Errorf("idempotent %t: ended %t", idempotent, ended)
		}
	}
}

func TestNoWorkStartsAfterTheWait(t *testing.T) {
	var w work
	w.Go(func() {})
	w.Wait()
	if w.Go(func() { t.Error("it ran") }) {
		t.Error("work was taken after the wait")
	}
}

func TestBackEndThatIsAwayRanNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	a := &Agent{engine: backend.NewHTTP(listener.Addr().String())}
	err = a.copyAnswer(context.Background(), wire.Dispatch{Method: "POST", Path: "/bookings"}, nil)
	if !stream.NotSent(err) || !fault.Is(err, fault.EndpointFault) {
		t.Errorf("the call came to %v", err)
	}
}

func TestSuspectsRunOneAtATime(t *testing.T) {
	a := &Agent{suspectTurn: make(chan struct{}, 1)}
	if !a.takeSuspectTurn(wire.Dispatch{BudgetMS: time.Minute.Milliseconds()}) {
		t.Error("the first suspect did not run")
	}
	if a.takeSuspectTurn(wire.Dispatch{}) {
		t.Error("another ran beside it")
	}
}
