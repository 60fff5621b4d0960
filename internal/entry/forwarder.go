package entry

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/claim"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/outcome"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/routing"
	"github.com/lovageglade/lovageglade/internal/suspect"
)

// forwarder handles one request over all its attempts. It performs the effects that the state machine of package
// outcome returns.
type forwarder struct {
	entry       *Entry
	request     *request
	answer      *observation
	machine     *outcome.Flow
	fingerprint uint64
	start       time.Time
	excluded    map[core.HostID]bool // hosts that the next pick must not return

	ctx           context.Context // ends when the request is done
	deadlineCtx   context.Context // ends at the caller's deadline
	events        chan reduce.Event
	cancelReaders map[core.AttemptID]context.CancelFunc
	tasks         conc.WaitGroup
}

// plannedAttempt is a new attempt and the endpoint that was picked for it.
type plannedAttempt struct {
	id       core.AttemptID
	endpoint routing.Candidate
}

func newForwarder(e *Entry, r *request, o *observation) *forwarder {
	f := &forwarder{
		entry:         e,
		request:       r,
		answer:        o,
		start:         time.Now(),
		events:        make(chan reduce.Event),
		cancelReaders: make(map[core.AttemptID]context.CancelFunc),
	}
	f.fingerprint = f.claimContent().Fingerprint()
	return f
}

func (f *forwarder) claimContent() claim.Content {
	r := f.request
	return claim.Content{Service: r.service.Name, Method: r.method, Path: r.path, ContentType: r.contentType, Body: r.body}
}

// run handles the request until its final answer, then waits until all goroutines that it started have ended.
func (f *forwarder) run() {
	defer f.tasks.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.ctx = ctx
	deadlineCtx, stop := context.WithDeadline(ctx, f.request.deadline)
	defer stop()
	f.deadlineCtx = deadlineCtx
	crashes := f.entry.outcomeState.suspects.Crashes(f.fingerprint, time.Now())
	if crashes >= suspect.MaxCrashes {
		f.answer.finish(earlyRefusalOutcome(f.request.claimRequired()), errSuspect())
		return
	}
	f.machine = outcome.NewFlow(outcome.Request{
		Idempotent:    f.request.idempotent,
		ClaimRequired: f.request.claimRequired(),
		Suspect:       crashes > 0,
	})
	f.loop()
}

func (f *forwarder) loop() {
	hedge, stop := f.hedgeTimer()
	defer stop()
	f.step(outcome.Started{})
	for !f.machine.Done() {
		select {
		case event := <-f.events:
			f.step(event)
		case <-hedge:
			f.step(outcome.HedgeDue{})
		case <-f.deadlineCtx.Done():
			f.step(outcome.DeadlinePassed{})
		case <-f.answer.callerGone:
			f.step(outcome.CallerGone{})
		}
	}
}

// hedgeTimer returns a channel that fires when the first byte is later than usual for the service, and a function that
// stops the timer. The channel never fires if the request is not idempotent or there are too few measurements of the
// service.
func (f *forwarder) hedgeTimer() (<-chan time.Time, func()) {
	delay, known := f.entry.outcomeState.firstByteTimes.Get(f.request.service.Name).HedgeDelay()
	if !known || !f.request.idempotent {
		return nil, func() {}
	}
	timer := time.NewTimer(delay)
	return timer.C, func() { timer.Stop() }
}

// step passes the event to the state machine, and then the events that result immediately from its effects.
func (f *forwarder) step(event reduce.Event) {
	queue := []reduce.Event{event}
	for len(queue) > 0 {
		for _, effect := range f.machine.Step(queue[0]) {
			if next := f.perform(effect); next != nil {
				queue = append(queue, next)
			}
		}
		queue = queue[1:]
	}
}

// post passes an event to the forwarder's loop. It returns false if the context ended first.
func (f *forwarder) post(ctx context.Context, event reduce.Event) bool {
	select {
	case f.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// claimRequired reports whether the idempotency key must be claimed before a dispatch.
func (r *request) claimRequired() bool { return r.key != "" && !r.idempotent }

// earlyRefusalOutcome returns the outcome to report for a request that is refused before its claim was read. If a
// claim is required, an earlier call with the same key may have run.
func earlyRefusalOutcome(claimRequired bool) fault.Outcome {
	if claimRequired {
		return fault.Unknown
	}
	return fault.NotRun
}

func errSuspect() error {
	return fault.New(fault.SuspectRequest, "endpoints crashed while they ran this request", "do not send it again unchanged; have an operator look into it")
}
