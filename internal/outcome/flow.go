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
	maxCrashes          = 2 // endpoint crashes while running one request
	maxFruitlessResumes = 4 // connections in a row without new data of the answer
	maxChecksumRetries  = 2 // repeated reads of an answer with a wrong checksum
	maxClaimsFollowed   = 8 // attempts of other calls that one call resolves
)

// Request holds the properties of a request that the decisions depend on.
type Request struct {
	Idempotent    bool
	ClaimRequired bool // its key must be claimed before a dispatch
	Suspect       bool // it was running when an endpoint crashed
}

// Flow is the state machine of one request. It is not safe for concurrent use.
type Flow struct {
	request         Request
	attempts        []*attemptState
	otherMayHaveRun bool // another call with the key may have run
	claimRevision   platform.Revision
	claimsFollowed  int
	pickPending     bool
	dispatches      int // attempts dispatched by this call
	unknownOutcomes int // closed attempts that may have run
	crashes         int
	selected        *attemptState // the attempt whose answer is used
	forwarded       bool          // the selected answer is an event stream, of which the caller may have a part already
	lastErr         error
	done            bool
}

// attemptState is the state of one attempt.
type attemptState struct {
	Attempt
	connCount        int  // connections opened so far
	currentConn      int  // number of the connection being read, or noConn
	pending          bool // its outcome is not known yet
	provedNotRun     bool // it did not and will not run
	fromOtherCall    bool // another call dispatched it
	markTooOld       bool // its agent refused it only because its time mark was too old
	dispatched       bool
	headReceived     bool
	offset           int64
	fruitlessResumes int
	checksumRetries  int
	checksum         *xxhash.Digest
}

// NewFlow returns the flow of a request. It starts with the event Started.
func NewFlow(request Request) *Flow {
	return &Flow{request: request, otherMayHaveRun: request.ClaimRequired}
}

// Done reports whether the flow has ended.
func (f *Flow) Done() bool { return f.done }

// Step handles one event and returns the effects to perform.
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
	case ClaimWritten, ClaimFound, ClaimAbsent, ClaimFailed:
		return f.onClaimEvent(event)
	case HedgeDue:
		return f.onHedgeDue()
	case DeadlinePassed:
		return f.onDeadlinePassed()
	case CallerGone:
		return f.onCallerGone()
	case NoRoom:
		return f.onNoRoom()
	}
	return f.onAttemptEvent(event)
}

func (f *Flow) onAttemptEvent(event reduce.Event) []reduce.Effect {
	switch event := event.(type) {
	case NotSent:
		return f.withCurrentConn(event.Attempt, event.Conn, func(a *attemptState) []reduce.Effect { return f.onNotSent(a, event.Err) })
	case ConnLost:
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

// withPending calls decide with the attempt if it is still pending.
func (f *Flow) withPending(id core.AttemptID, decide func(*attemptState) []reduce.Effect) []reduce.Effect {
	for _, a := range f.attempts {
		if a.ID == id && a.pending {
			return decide(a)
		}
	}
	return nil
}

// withCurrentConn calls decide with the attempt if conn is its current connection. Events of other connections are
// ignored.
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
	return []reduce.Effect{Pick{Exclude: exclude, Retry: retry}}
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
	if f.request.ClaimRequired {
		return []reduce.Effect{WriteClaim{Attempt: next, IfRevision: f.claimRevision}}
	}
	return f.dispatch(a)
}

func (f *Flow) dispatch(a *attemptState) []reduce.Effect {
	f.dispatches++
	a.dispatched = true
	a.nextConn()
	return []reduce.Effect{Dispatch{Attempt: a.Attempt, Conn: a.currentConn, Suspect: f.request.Suspect || f.crashes > 0}}
}

// onPickFailed stops retrying unless another attempt is pending.
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

const noConn = 0 // no connection is being read

// nextConn assigns the number of the attempt's next connection.
func (a *attemptState) nextConn() {
	a.connCount++
	a.currentConn = a.connCount
}

func isEventStream(contentType string) bool {
	return strings.HasPrefix(contentType, "text/event-stream")
}
