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

// flow carries one request over its attempts: it performs what the reducer of package outcome decides.
type flow struct {
	entry       *Entry
	request     *request
	answer      *observation
	machine     *outcome.Flow
	fingerprint uint64
	begun       time.Time
	excluded    map[core.HostID]bool // what the next pick leaves out

	ctx       context.Context // ends with the flow
	deadline  context.Context // ends at the caller's deadline
	events    chan reduce.Event
	followers map[core.AttemptID]context.CancelFunc
	tasks     conc.WaitGroup
}

// attemptTarget is one attempt and the endpoint's life that it is meant for.
type attemptTarget struct {
	id       core.AttemptID
	endpoint routing.Candidate
}

func newFlow(e *Entry, r *request, into *observation) *flow {
	f := &flow{
		entry:     e,
		request:   r,
		answer:    into,
		begun:     time.Now(),
		events:    make(chan reduce.Event),
		followers: make(map[core.AttemptID]context.CancelFunc),
	}
	f.fingerprint = f.content().Fingerprint()
	return f
}

func (f *flow) content() claim.Content {
	r := f.request
	return claim.Content{Service: r.service.Name, Method: r.method, Path: r.path, ContentType: r.contentType, Body: r.body}
}

// run brings the request to its final answer, and then waits until everything that it started has ended.
func (f *flow) run() {
	defer f.tasks.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.ctx = ctx
	deadline, stop := context.WithDeadline(ctx, f.request.deadline)
	defer stop()
	f.deadline = deadline
	crashes := f.entry.outcomes.suspects.Crashes(f.fingerprint, time.Now())
	if crashes >= suspect.MaxCrashes {
		f.answer.finish(refusedUnseen(f.request.claimed()), errSuspect())
		return
	}
	f.machine = outcome.NewFlow(outcome.Request{
		Idempotent: f.request.idempotent,
		ClaimRequired:    f.request.claimed(),
		Suspect:    crashes > 0,
	})
	f.loop()
}

func (f *flow) loop() {
	hedge, stop := f.hedgeTimer()
	defer stop()
	f.step(outcome.Started{})
	for !f.machine.Done() {
		select {
		case event := <-f.events:
			f.step(event)
		case <-hedge:
			f.step(outcome.HedgeDue{})
		case <-f.deadline.Done():
			f.step(outcome.DeadlinePassed{})
		case <-f.answer.gone:
			f.step(outcome.CallerGone{})
		}
	}
}

// hedgeTimer fires when the first byte is later than the service's first bytes usually are. It never fires for a
// request that is not idempotent, or while too little is known of the service.
func (f *flow) hedgeTimer() (<-chan time.Time, func()) {
	delay, known := f.entry.outcomes.firstBytes.Get(f.request.service.Name).HedgeDelay()
	if !known || !f.request.idempotent {
		return nil, func() {}
	}
	timer := time.NewTimer(delay)
	return timer.C, func() { timer.Stop() }
}

// step steps the reducer over the event and over those that follow from its effects at once.
func (f *flow) step(event reduce.Event) {
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

// post hands an event to the flow, and returns false when the flow or the follower has ended.
func (f *flow) post(ctx context.Context, event reduce.Event) bool {
	select {
	case f.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// claimed tells whether the request's key must be claimed before a dispatch.
func (r *request) claimed() bool { return r.key != "" && !r.idempotent }

// refusedUnseen is the outcome of a request that this entry refuses before it has asked what an earlier call with the
// same key came to.
func refusedUnseen(claimed bool) fault.Outcome {
	if claimed {
		return fault.Unknown
	}
	return fault.NotRun
}

func errSuspect() error {
	return fault.New(fault.Suspect, "endpoints crashed while they ran this request", "do not send it again unchanged; have an operator look into it")
}
