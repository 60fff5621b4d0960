package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/placement"
	"github.com/lovageglade/lovageglade/internal/routing"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// errAttemptPanicked is reported for an attempt whose goroutine panics.
var errAttemptPanicked = errors.New("attempt panicked")

// reach is how far a call has come at an endpoint.
type reach int

const (
	reachNone    reach = iota // no byte was sent, or a sidecar or this gateway refused it
	reachRefused              // the endpoint received the call and has not run it, by its own word or by that of its sidecar
	reachRun                  // it has run or may have
)

// attempt is one send of a call to one endpoint. Its goroutine reports to that of the call, which alone decides and writes to the
// caller.
type attempt struct {
	id       int        // index in forwarder.attempts
	f        *forwarder // of which the attempt's goroutine uses only what does not change
	endpoint *catalog.Endpoint
	ctx      context.Context
	cancel   context.CancelCauseFunc
	next     chan bool // answers each report that has content: whether that was delivered

	// What held for the call when the endpoint was picked.
	query           placement.Query
	rollouts        catalog.Rollouts // of the query's model
	pickedAt        time.Duration    // on the boot clock
	resumeAfter     string           // id of the last event that the caller had; "" for the caller's own
	resumes         bool             // the caller has the beginning of the stream from another endpoint
	resumedType     string           // content type that the caller has
	firstEventBound time.Duration    // within which the sidecar must expect the first event; 0 for no bound
	trial           bool
	waits           bool // the call may wait at the endpoint for its start

	directVersion int64 // that a request past the sidecar asks for; 0 for other requests. Of the attempt's goroutine

	// Set by the attempt's goroutine, and read by that of the call at any time.
	sentAt   atomic.Int64 // on the boot clock; 0 before
	sending  atomic.Bool  // the endpoint or its sidecar may have received a byte of the call
	bypasses atomic.Bool  // it was sent past an unreachable sidecar, and holds a direct slot
	stall    stallTimer

	// Set by the attempt's goroutine before the report that they belong to.
	framing   dispatch.Framing // of the answer; "" before it
	answer    *dispatch.Response
	info      call.ResponseInfo
	body      []byte // the beginning of an answer that is no stream
	more      bool   // the answer may go on after the body
	outcome   reach
	delivered bool // its whole answer went to the caller

	// Of the call's goroutine.
	pick       *pickRecord
	failedAt   time.Duration // when its endpoint's silence was counted as a failure; 0 if it was not
	firstEvent time.Time     // when its first event arrived
	ended      bool          // its last report has come
}

// reach returns how far the call has come at the endpoint, or may have while the attempt goes on.
func (a *attempt) reach() reach {
	switch {
	case a.ended:
		return a.outcome
	case a.sending.Load():
		return reachRun
	}
	return reachNone
}

// reportKind is what an attempt has come to.
type reportKind int

const (
	reportSilent  reportKind = iota // the endpoint has sent nothing for longer than is allowed
	reportComment                   // the stream went on without progress
	reportEvent                     // the next event of the stream
	reportWhole                     // the answer is whole, or its beginning was read; the last report of its attempt
	reportFailed                    // there is no whole answer; the last report of its attempt
)

// report is sent by an attempt to the goroutine of the call. After one with content the attempt waits for the answer.
type report struct {
	attempt *attempt
	kind    reportKind
	event   []byte // of a stream; valid until the attempt goes on
	err     error  // why the attempt failed
}

// isLast reports whether the attempt sends no further report, but perhaps a late reportSilent.
func (r report) isLast() bool { return r.kind == reportWhole || r.kind == reportFailed }

// hasContent reports whether the report holds something for the caller.
func (r report) hasContent() bool { return r.kind != reportSilent && r.kind != reportFailed }

// run sends the call and reports what comes of it. Its last report comes when the endpoint no longer counts the call.
func (a *attempt) run() {
	err := errAttemptPanicked
	defer func() {
		if errors.Is(err, errAttemptPanicked) && a.sending.Load() {
			a.outcome = reachRun
		}
		if err != nil {
			a.f.reports <- report{attempt: a, kind: reportFailed, err: err}
		}
	}()
	err = a.runInTurn()
}

// runInTurn sends the call, in its turn if it is suspect. It returns nil after a whole answer.
func (a *attempt) runInTurn() error {
	taken, err := a.f.takeTurn(a.ctx)
	if err != nil {
		return err
	}
	if taken != nil {
		defer func() {
			if a.delivered || a.outcome != reachRun {
				taken.end(0)
				return
			}
			taken.end(turnSettleTime)
		}()
	}
	return a.offer()
}

// offer sends the call to the endpoint. It returns nil after a whole answer.
func (a *attempt) offer() error {
	meter := a.f.g.placer.Meter(a.endpoint.ID)
	meter.AddInFlight(1)
	defer a.releaseEndpoint(meter)
	a.stall.start(a)
	defer a.stall.pause()
	answer, info, err := a.send()
	if err != nil {
		switch refusal := asRefusal(err); {
		case refusal == nil && !dispatch.NotSent(err):
			a.outcome = reachRun
		case refusal != nil && refusal.takenBack:
			a.outcome = reachRefused
		}
		return err
	}
	telemetry.AnswerReceived(string(a.framing))
	if info.NotRun {
		drainAndClose(answer)
		a.outcome = reachRefused
		return fault.New(fault.Overloaded, "the endpoint "+string(a.endpoint.ID)+" refused the request", "come back later")
	}
	defer answer.Close()
	a.outcome = reachRun
	a.answer, a.info = answer, info
	if a.f.isStream(answer) {
		err = a.readEvents()
	} else {
		a.body, a.more, err = a.f.conn.ReadAnswer(answer, maxBufferedBytes)
	}
	a.stall.pause()
	if err == nil && !a.more {
		err = a.confirmEnd()
	}
	if err != nil {
		return err
	}
	a.delivered = a.hand(report{kind: reportWhole})
	return nil
}

// releaseEndpoint takes the attempt off the endpoint's load and releases its slot if it bypassed the sidecar.
func (a *attempt) releaseEndpoint(meter *routing.LoadMeter) {
	meter.AddInFlight(-1)
	if a.bypasses.Load() {
		a.f.g.sidecars.releaseDirectSlot(a.endpoint.ID)
	}
}

// hand reports and waits until the call's goroutine no longer uses the content. It returns whether that was delivered to the caller.
func (a *attempt) hand(r report) (delivered bool) {
	r.attempt = a
	a.f.reports <- r
	return <-a.next
}
