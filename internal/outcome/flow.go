package outcome

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

const (
	maxAttempts         = 4 // dispatches of one request
	maxCrashes          = 2 // endpoints' lives that may end under one request
	maxFruitlessResumes = 4 // connections in turn that bring nothing new of an answer
	maxChecksumRetries  = 2 // readings of an answer that did not match its checksum
	maxClaimsFollowed   = 8 // claims of other calls that one call may follow
)

// Request is what the decisions depend on.
type Request struct {
	Idempotent bool
	Claimed    bool // its key must be claimed before a dispatch
	Suspect    bool // it is known to have been running when an endpoint crashed
}

// Flow is the state of one request.
type Flow struct {
	request         Request
	attempts        []*attemptState
	otherMayHaveRun bool // another call with the key may have run
	claimRevision   platform.Revision
	claimsFollowed  int
	pickPending     bool
	dispatches      int // dispatches by this call
	unknownOutcomes int // ended attempts that may have run
	crashes         int
	selected        *attemptState // whose answer is taken
	forwarded       bool          // the caller has seen a part of the answer
	lastErr         error
	done            bool
}

// attemptState is the state of one attemptState.
type attemptState struct {
	Attempt
	connCount        int  // connections opened
	currentConn      int  // the one that is read, or noConn
	pending          bool // its fate is not known yet
	provedNotRun     bool // it did not and will not run
	fromOtherCall    bool // another call dispatched it
	markTooOld       bool // it was refused for its mark alone
	dispatched       bool
	headReceived     bool
	offset           int64
	fruitlessResumes int
	checksumRetries  int
	checksum         *xxhash.Digest
}

// NewFlow returns the flow of a request that has not started.
func NewFlow(request Request) *Flow {
	return &Flow{request: request, otherMayHaveRun: request.Claimed}
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
		return f.requestPick(false)
	case Picked:
		return f.onPicked(event.Attempt)
	case PickFailed:
		return f.onPickFailed(event.Err)
	case ClaimWritten, ClaimStands, ClaimAbsent, ClaimFailed:
		return f.onClaimEvent(event)
	case HedgeDue:
		return f.onHedgeDue()
	case DeadlinePassed:
		return f.onDeadlinePassed()
	case CallerGone:
		return f.onCallerGone()
	}
	return f.onAttemptEvent(event)
}

func (f *Flow) onAttemptEvent(event reduce.Event) []reduce.Effect {
	switch event := event.(type) {
	case NotSent:
		return f.withCurrentConn(event.Attempt, event.Conn, func(a *attemptState) []reduce.Effect { return f.onNotSent(a, event.Err) })
	case Lost:
		return f.withCurrentConn(event.Attempt, event.Conn, f.resolveAfterLoss)
	case FrameArrived:
		return f.withCurrentConn(event.Attempt, event.Conn, func(a *attemptState) []reduce.Effect { return f.onFrame(a, event.Frame) })
	case Resolved:
		return f.withPending(event.Attempt, func(a *attemptState) []reduce.Effect { return f.onResolved(a, event.State) })
	case ResolveFailed:
		return f.withPending(event.Attempt, f.onUnreachable)
	}
	return nil
}

// withPending applies the decision to an attempt that is still open.
func (f *Flow) withPending(id core.AttemptID, decide func(*attemptState) []reduce.Effect) []reduce.Effect {
	for _, a := range f.attempts {
		if a.ID == id && a.pending {
			return decide(a)
		}
	}
	return nil
}

// withCurrentConn applies the decision to what the attempt's connection brought. What another connection brings, or one that
// was given up, is void.
func (f *Flow) withCurrentConn(id core.AttemptID, conn int, decide func(*attemptState) []reduce.Effect) []reduce.Effect {
	return f.withPending(id, func(a *attemptState) []reduce.Effect {
		if conn != a.currentConn || a.currentConn == noConn {
			return nil
		}
		return decide(a)
	})
}

func (f *Flow) requestPick(retry bool) []reduce.Effect {
	f.pickPending = true
	var exclude []core.HostID
	for _, a := range f.attempts {
		if !a.fromOtherCall && !a.markTooOld {
			exclude = append(exclude, a.Target.Host.ID)
		}
	}
	return []reduce.Effect{Pick{Exclude: exclude, Again: retry}}
}

func (f *Flow) onPicked(next Attempt) []reduce.Effect {
	if !f.pickPending {
		return nil
	}
	f.pickPending = false
	if f.selected != nil {
		return nil
	}
	a := &attemptState{Attempt: next, pending: true, checksum: xxhash.New()}
	f.attempts = append(f.attempts, a)
	if f.request.Claimed {
		return []reduce.Effect{Claim{Attempt: next, IfRevision: f.claimRevision}}
	}
	return f.dispatch(a)
}

func (f *Flow) dispatch(a *attemptState) []reduce.Effect {
	f.dispatches++
	a.dispatched = true
	a.nextConn()
	return []reduce.Effect{Dispatch{Attempt: a.Attempt, Conn: a.currentConn, Suspect: f.request.Suspect || f.crashes > 0}}
}

// onPickFailed ends the flow, unless another attempt is open.
func (f *Flow) onPickFailed(err error) []reduce.Effect {
	f.pickPending = false
	if f.pendingCount() > 0 {
		return nil
	}
	if f.lastErr == nil {
		f.lastErr = err
	}
	return f.stopRetrying()
}

func (f *Flow) onHedgeDue() []reduce.Effect {
	allowed := f.request.Idempotent && !f.request.Suspect && f.crashes == 0
	if !allowed || f.selected != nil || f.pickPending || f.pendingCount() != 1 || f.dispatches >= maxAttempts {
		return nil
	}
	return f.requestPick(true)
}

func (f *Flow) pendingCount() int {
	n := 0
	for _, a := range f.attempts {
		if a.pending {
			n++
		}
	}
	return n
}

const noConn = 0

// nextConn numbers the attempt's next connection.
func (a *attemptState) nextConn() {
	a.connCount++
	a.currentConn = a.connCount
}

func isEventStream(contentType string) bool {
	return strings.HasPrefix(contentType, "text/event-stream")
}
