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
	tailBytes       = 64               // kept of an event stream's end, to find its end marker
	maxRunTime      = 30 * time.Minute // for an attempt that must not be stopped at its caller's deadline
)

// startAttempt records the attempt and starts it, or returns the reason why it will never run here. If the attempt
// is already known, it returns the existing record.
func (a *Agent) startAttempt(dispatch wire.Dispatch) (*attempt.Record, error) {
	if dispatch.Incarnation != a.incarnation {
		return nil, fault.New(fault.WrongIncarnation, "the attempt was meant for another incarnation of this agent", "read the agent's record again")
	}
	now := time.Now()
	a.suspects.Merge(dispatch.Suspects, now)
	start := attempt.Spec{ID: dispatch.Attempt, Mark: dispatch.Mark, Idempotent: dispatch.Idempotent}
	record, isNew, err := a.attemptTable.Begin(start, now)
	if err != nil || !isNew {
		return record, err
	}
	if !a.attemptTasks.Go(func() { a.admitAndRun(dispatch, record) }) {
		record.Refuse(fault.New(fault.Draining, "the agent is shutting down", "send it to another endpoint"), a.load())
	}
	return record, nil
}

func (a *Agent) admitAndRun(dispatch wire.Dispatch, record *attempt.Record) {
	ctx, cancel := attemptContext(dispatch)
	defer cancel()
	if dispatch.Idempotent {
		record.SetStopFunc(cancel)
	}
	if dispatch.Suspect {
		if !a.acquireSuspectSlot(dispatch) {
			record.Refuse(errSuspectBusy(), a.load())
			return
		}
		defer func() { <-a.suspectSlot }()
	}
	if a.suspects.Crashes(dispatch.Fingerprint, time.Now()) >= suspect.MaxCrashes {
		record.Refuse(errSuspect(), a.load())
		return
	}
	if err := a.admit(ctx, &dispatch); err != nil {
		record.Refuse(err, a.load())
		return
	}
	a.runAdmitted(ctx, dispatch, record)
}

// acquireSuspectSlot waits until no other suspect request runs here. It returns false after half of the time that
// the caller has left.
func (a *Agent) acquireSuspectSlot(dispatch wire.Dispatch) bool {
	select {
	case a.suspectSlot <- struct{}{}:
		return true
	case <-time.After(time.Duration(dispatch.BudgetMS) * time.Millisecond / 2):
		return false
	}
}

func (a *Agent) runAdmitted(ctx context.Context, dispatch wire.Dispatch, record *attempt.Record) {
	start := time.Now()
	err := a.copyAnswer(ctx, dispatch, record)
	a.releaseSlot(ctx, err)
	switch {
	case err == nil:
		a.suspects.RecordSuccess(dispatch.Fingerprint, time.Now())
		record.Finish(a.load())
	case stream.NotSent(err):
		record.Refuse(err, a.load())
	default:
		a.recordFailure(ctx, dispatch, record, start, err)
	}
}

// attemptContext returns a context that ends at the caller's deadline. An attempt that is not idempotent may
// continue after it, for at most maxRunTime.
func attemptContext(dispatch wire.Dispatch) (context.Context, context.CancelFunc) {
	timeout := maxRunTime
	if dispatch.Idempotent {
		timeout = time.Duration(dispatch.BudgetMS) * time.Millisecond
	}
	return context.WithTimeout(context.Background(), timeout)
}

// recordFailure records an attempt without a complete answer. An endpoint fault counts as a crash of the back end
// while it ran the attempt, unless the attempt had been stopped or had run out of time.
func (a *Agent) recordFailure(ctx context.Context, dispatch wire.Dispatch, record *attempt.Record, start time.Time, err error) {
	a.logger.Warn().Err(err).Str("request", string(dispatch.Request)).Str("attempt", string(dispatch.Attempt)).Msg("no whole answer from the back end")
	if ctx.Err() == nil && fault.Is(err, fault.EndpointFault) {
		a.suspects.RecordCrash(dispatch.Fingerprint, start, time.Now())
	}
	record.Fail(err, a.load())
}

func (a *Agent) copyAnswer(ctx context.Context, dispatch wire.Dispatch, record *attempt.Record) error {
	var loaded *loadedVersion
	if dispatch.Version != "" {
		loaded = a.loader.loadedNow()
	}
	answer, err := a.engine.Call(ctx, backend.Call{
		Method:      dispatch.Method,
		Path:        dispatch.Path,
		ContentType: dispatch.ContentType,
		Body:        dispatch.Body,
		NewConn:     !dispatch.Idempotent,
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
		return fault.New(fault.EndpointFault, "the event stream ended without its end marker", "retry the request if it is idempotent")
	}
	if dispatch.Version != "" {
		return a.loader.checkUnchanged(ctx, loaded, dispatch.Version)
	}
	return nil
}

func (a *Agent) copyBody(ctx context.Context, answer io.Reader, record *attempt.Record) (tail string, err error) {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Read(buffer)
		if tooLarge := record.Append(buffer[:n]); tooLarge != nil {
			return tail, tooLarge
		}
		tail = lastBytes(tail+string(buffer[:n]), tailBytes)
		if errors.Is(err, io.EOF) {
			return tail, nil
		}
		if err != nil && ctx.Err() == nil {
			return tail, fault.Wrap(err, fault.EndpointFault, "the back end's answer was cut off", "retry the request if it is idempotent")
		}
		if ctx.Err() != nil {
			return tail, fault.New(fault.DeadlinePassed, "the caller's deadline passed or the caller disconnected", "allow more time or send a shorter request")
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
	return fault.New(fault.SuspectRequest, "endpoints crashed while they ran this request", "do not send it again unchanged; have an operator look into it")
}

func errSuspectBusy() error {
	err := fault.New(fault.Overloaded, "the endpoint runs another suspect request", "send it to another endpoint or come back later")
	return fault.WithRetryAfter(err, 1)
}
