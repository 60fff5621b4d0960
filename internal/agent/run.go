package agent

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/lovageglade/lovageglade/internal/attempt"
	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/suspect"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	readBufferBytes = 16 << 10
	tailBytes       = 64               // enough of an event stream's end to see its marker
	runLimit        = 30 * time.Minute // for an attempt that may not be stopped at its caller's deadline
)

// begin records the attempt and starts it, or returns why it will never run here.
func (a *Agent) begin(dispatch wire.Dispatch) (*attempt.Record, error) {
	if dispatch.Incarnation != a.incarnation {
		return nil, fault.New(fault.WrongLife, "the attempt was meant for an earlier life of this agent", "read the agent's record again")
	}
	now := time.Now()
	a.suspects.Merge(dispatch.Suspects, now)
	start := attempt.Spec{ID: dispatch.Attempt, Mark: dispatch.Mark, Idempotent: dispatch.Idempotent}
	record, fresh, err := a.table.Begin(start, now)
	if err != nil || !fresh {
		return record, err
	}
	if !a.running.Go(func() { a.admitAndRun(dispatch, record) }) {
		record.Refuse(fault.New(fault.Draining, "the agent is shutting down", "send it to another endpoint"), a.load())
	}
	return record, nil
}

func (a *Agent) admitAndRun(dispatch wire.Dispatch, record *attempt.Record) {
	ctx, cancel := runContext(dispatch)
	defer cancel()
	if dispatch.Idempotent {
		record.SetStopFunc(cancel)
	}
	if dispatch.Suspect {
		if !a.takeSuspectTurn(dispatch) {
			record.Refuse(errSuspectWaits(), a.load())
			return
		}
		defer func() { <-a.suspectTurn }()
	}
	if a.suspects.Crashes(dispatch.Fingerprint, time.Now()) >= suspect.MaxCrashes {
		record.Refuse(errSuspect(), a.load())
		return
	}
	if err := a.admit(ctx, &dispatch); err != nil {
		record.Refuse(err, a.load())
		return
	}
	a.run(ctx, dispatch, record)
}

// takeSuspectTurn waits until no other suspect request runs here, for half of the time that the caller has left.
func (a *Agent) takeSuspectTurn(dispatch wire.Dispatch) bool {
	select {
	case a.suspectTurn <- struct{}{}:
		return true
	case <-time.After(time.Duration(dispatch.BudgetMS) * time.Millisecond / 2):
		return false
	}
}

func (a *Agent) run(ctx context.Context, dispatch wire.Dispatch, record *attempt.Record) {
	began := time.Now()
	err := a.copyAnswer(ctx, dispatch, record)
	a.leave(ctx, err)
	switch {
	case err == nil:
		a.suspects.RecordSuccess(dispatch.Fingerprint, time.Now())
		record.Finish(a.load())
	case stream.NotSent(err):
		record.Refuse(err, a.load())
	default:
		a.fail(ctx, dispatch, record, began, err)
	}
}

// runContext ends at the caller's deadline. An attempt that is not idempotent runs on after it.
func runContext(dispatch wire.Dispatch) (context.Context, context.CancelFunc) {
	limit := runLimit
	if dispatch.Idempotent {
		limit = time.Duration(dispatch.BudgetMS) * time.Millisecond
	}
	return context.WithTimeout(context.Background(), limit)
}

// fail records an attempt without a whole answer. Unless it was stopped, the back end is taken to have crashed under
// it.
func (a *Agent) fail(ctx context.Context, dispatch wire.Dispatch, record *attempt.Record, began time.Time, err error) {
	a.logger.Warn().Err(err).Str("request", string(dispatch.Request)).Str("attempt", string(dispatch.Attempt)).Msg("no whole answer from the back end")
	if ctx.Err() == nil && fault.Is(err, fault.EndpointFault) {
		a.suspects.RecordCrash(dispatch.Fingerprint, began, time.Now())
	}
	record.Fail(err, a.load())
}

func (a *Agent) copyAnswer(ctx context.Context, dispatch wire.Dispatch, record *attempt.Record) error {
	var held *loaded
	if dispatch.Version != "" {
		held = a.loader.holding()
	}
	answer, err := a.engine.Call(ctx, backend.Call{
		Method:      dispatch.Method,
		Path:        dispatch.Path,
		ContentType: dispatch.ContentType,
		Body:        dispatch.Body,
		NewConn:       !dispatch.Idempotent,
	})
	if err != nil {
		return fault.Wrap(err, fault.EndpointFault, "the back end gave no answer", "check that the back end runs")
	}
	defer answer.Close()
	record.SetHead(answer.Status, answer.ContentType)
	tail, err := a.copyBody(ctx, answer, record)
	if err != nil {
		return err
	}
	if strings.HasPrefix(answer.ContentType, "text/event-stream") && !strings.HasSuffix(strings.TrimSpace(tail), "data: [DONE]") {
		return fault.New(fault.EndpointFault, "the event stream ended without its end marker", "send the request again if it is idempotent")
	}
	if dispatch.Version != "" {
		return a.loader.holds(ctx, held, dispatch.Version)
	}
	return nil
}

func (a *Agent) copyBody(ctx context.Context, answer io.Reader, record *attempt.Record) (tail string, err error) {
	buffer := make([]byte, readBufferBytes)
	total := 0
	for {
		n, err := answer.Read(buffer)
		total += n
		if total > attempt.MaxAnswerBytes {
			return tail, fault.New(fault.TooLarge, "the answer is larger than an agent holds", "ask for a smaller answer")
		}
		record.Append(buffer[:n])
		tail = lastBytes(tail+string(buffer[:n]), tailBytes)
		if errors.Is(err, io.EOF) {
			return tail, nil
		}
		if err != nil {
			return tail, fault.Wrap(err, fault.EndpointFault, "the back end's answer was cut", "send the request again if it is idempotent")
		}
		if ctx.Err() != nil {
			return tail, fault.New(fault.Expired, "the caller's deadline passed or the caller has gone", "allow more time or send a shorter request")
		}
	}
}

func lastBytes(text string, n int) string {
	if len(text) <= n {
		return text
	}
	return text[len(text)-n:]
}

func errSuspect() error {
	return fault.New(fault.Suspect, "endpoints crashed while they ran this request", "do not send it again unchanged; have an operator look into it")
}

func errSuspectWaits() error {
	err := fault.New(fault.Overloaded, "the endpoint runs another suspect request", "send it to another endpoint or come back later")
	return fault.WithRetryAfter(err, 1)
}
