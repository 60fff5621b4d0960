package outcome

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

const (
	maxAttempts = 4 // dispatches of one request
	maxCrashes  = 2 // endpoints' lives that may end under one request
	maxResumes  = 4 // connections in turn that bring nothing new of an answer
	maxRereads  = 2 // readings of an answer that did not match its checksum
	maxClaims   = 8 // claims of other calls that one call may follow
)

// Request is what the decisions depend on.
type Request struct {
	Idempotent bool
	Claimed    bool // its key must be claimed before a dispatch
	Suspect    bool // it is known to have been running when an endpoint crashed
}

// Flow is the state of one request.
type Flow struct {
	request  Request
	attempts []*attempt
	prior    bool // another call with the key may have run
	revision platform.Revision
	claims   int
	picking  bool
	sent     int // dispatches by this call
	unknown  int // ended attempts that may have run
	crashes  int
	chosen   *attempt // whose answer is taken
	passed   bool     // the caller has seen a part of the answer
	last     error
	done     bool
}

// attempt is the state of one attempt.
type attempt struct {
	Attempt
	conns   int  // connections opened
	conn    int  // the one that is read, or noConn
	open    bool // its fate is not known yet
	proved  bool // it did not and will not run
	adopted bool // another call dispatched it
	stale   bool // it was refused for its mark alone
	sent    bool
	headed  bool
	offset  int64
	resumes int
	rereads int
	hash    *xxhash.Digest
}

// NewFlow returns the flow of a request that has not started.
func NewFlow(request Request) *Flow {
	return &Flow{request: request, prior: request.Claimed}
}

// Done tells whether the flow has ended.
func (f *Flow) Done() bool { return f.done }

// Step takes one event and returns what has to be done.
func (f *Flow) Step(event reduce.Event) []reduce.Effect {
	if f.done {
		return nil
	}
	switch event := event.(type) {
	case Started:
		return f.pick(false)
	case Picked:
		return f.picked(event.Attempt)
	case PickFailed:
		return f.pickFailed(event.Err)
	case ClaimWritten, ClaimStands, ClaimAbsent, ClaimFailed:
		return f.claimEvent(event)
	case HedgeDue:
		return f.hedge()
	case DeadlinePassed:
		return f.expire()
	case CallerGone:
		return f.abandon()
	}
	return f.attemptEvent(event)
}

func (f *Flow) attemptEvent(event reduce.Event) []reduce.Effect {
	switch event := event.(type) {
	case NotSent:
		return f.onConn(event.Attempt, event.Conn, func(a *attempt) []reduce.Effect { return f.notSent(a, event.Err) })
	case Lost:
		return f.onConn(event.Attempt, event.Conn, f.lost)
	case FrameArrived:
		return f.onConn(event.Attempt, event.Conn, func(a *attempt) []reduce.Effect { return f.frame(a, event.Frame) })
	case Resolved:
		return f.on(event.Attempt, func(a *attempt) []reduce.Effect { return f.resolved(a, event.State) })
	case ResolveFailed:
		return f.on(event.Attempt, f.unreachable)
	}
	return nil
}

// on applies the decision to an attempt that is still open.
func (f *Flow) on(id core.AttemptID, decide func(*attempt) []reduce.Effect) []reduce.Effect {
	for _, a := range f.attempts {
		if a.ID == id && a.open {
			return decide(a)
		}
	}
	return nil
}

// onConn applies the decision to what the attempt's connection brought. What another connection brings, or one that
// was given up, is void.
func (f *Flow) onConn(id core.AttemptID, conn int, decide func(*attempt) []reduce.Effect) []reduce.Effect {
	return f.on(id, func(a *attempt) []reduce.Effect {
		if conn != a.conn || a.conn == noConn {
			return nil
		}
		return decide(a)
	})
}

func (f *Flow) pick(again bool) []reduce.Effect {
	f.picking = true
	var exclude []core.HostID
	for _, a := range f.attempts {
		if !a.adopted && !a.stale {
			exclude = append(exclude, a.Target.Host.ID)
		}
	}
	return []reduce.Effect{Pick{Exclude: exclude, Again: again}}
}

func (f *Flow) picked(next Attempt) []reduce.Effect {
	if !f.picking {
		return nil
	}
	f.picking = false
	if f.chosen != nil {
		return nil
	}
	a := &attempt{Attempt: next, open: true, hash: xxhash.New()}
	f.attempts = append(f.attempts, a)
	if f.request.Claimed {
		return []reduce.Effect{Claim{Attempt: next, IfRevision: f.revision}}
	}
	return f.dispatch(a)
}

func (f *Flow) dispatch(a *attempt) []reduce.Effect {
	f.sent++
	a.sent = true
	a.connect()
	return []reduce.Effect{Dispatch{Attempt: a.Attempt, Conn: a.conn, Suspect: f.request.Suspect || f.crashes > 0}}
}

// pickFailed ends the flow, unless another attempt is open.
func (f *Flow) pickFailed(err error) []reduce.Effect {
	f.picking = false
	if f.opened() > 0 {
		return nil
	}
	if f.last == nil {
		f.last = err
	}
	return f.giveUp()
}

func (f *Flow) hedge() []reduce.Effect {
	allowed := f.request.Idempotent && !f.request.Suspect && f.crashes == 0
	if !allowed || f.chosen != nil || f.picking || f.opened() != 1 || f.sent >= maxAttempts {
		return nil
	}
	return f.pick(true)
}

func (f *Flow) opened() int {
	n := 0
	for _, a := range f.attempts {
		if a.open {
			n++
		}
	}
	return n
}

const noConn = 0

// connect numbers the attempt's next connection.
func (a *attempt) connect() {
	a.conns++
	a.conn = a.conns
}

func streams(contentType string) bool { return strings.HasPrefix(contentType, "text/event-stream") }
