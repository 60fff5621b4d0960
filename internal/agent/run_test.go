package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/attempt"
	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/core"
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

// serveAnswers answers requests with the path /endless without end, at most endlessBytes, and others with a whole answer.
func serveAnswers(t *testing.T, endlessBytes int) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/endless" {
			_, _ = io.WriteString(w, "whole")
			return
		}
		part := make([]byte, 64<<10)
		for sent := 0; sent < endlessBytes; sent += len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// The answers of a back end in trouble have no end. The agent keeps a bounded part of all of them and serves other attempts.
func TestAnswersWithoutEndAreBoundedTogether(t *testing.T) {
	const attempts = 40
	a := &Agent{engine: backend.NewHTTP(serveAnswers(t, 64<<20))}
	table := attempt.NewTable(time.Now())
	begin := func(id core.AttemptID) *attempt.Record {
		record, _, err := table.Begin(attempt.Spec{ID: id}, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		return record
	}
	var records []*attempt.Record
	for i := range attempts {
		records = append(records, begin(core.AttemptID(fmt.Sprint(i))))
	}
	beside := begin("beside")
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var group sync.WaitGroup
	for _, record := range records {
		group.Go(func() {
			if err := a.copyAnswer(t.Context(), wire.Dispatch{Method: "GET", Path: "/endless"}, record); !fault.Is(err, fault.TooLarge) && !fault.Is(err, fault.LostOutcome) {
				t.Errorf("an answer without end: %v", err)
			}
		})
	}
	if err := a.copyAnswer(t.Context(), wire.Dispatch{Method: "GET", Path: "/sound"}, beside); err != nil {
		t.Errorf("an answer beside them: %v", err)
	}
	group.Wait()
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 96<<20 { // twice the buffer, since bodies grow in steps
		t.Errorf("the heap has grown by %d MB", grown>>20)
	}
	runtime.KeepAlive(records)
}
