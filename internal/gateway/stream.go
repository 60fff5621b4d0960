package gateway

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/lovageglade/lovageglade/internal/budget"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/fault"
)

const (
	initialEventBytes = 4 << 10 // initial buffer size; fits a typical event
	maxEventBytes     = 1 << 20
	freeEventBytes    = 64 << 10 // of the memory of a stream's event that need no room in the budget
)

// streamState tracks what the caller has received of a stream.
type streamState struct {
	headerSent   bool          // the header was sent to the caller
	contentType  string        // of the header
	lastEventID  string        // id of the last complete event that was sent to the caller
	firstEvent   time.Duration // time from the request's arrival to the first event
	longestPause time.Duration // longest pause between two events
	lastEventAt  time.Time
}

// recordEvent records that the event was sent to the caller, whose request came at arrived.
func (s *streamState) recordEvent(event []byte, arrived time.Time) {
	now := time.Now()
	if s.lastEventAt.IsZero() {
		s.firstEvent = now.Sub(arrived)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.lastEventID = eventIDOf(event, s.lastEventID)
}

// isStream reports whether the answer is read event by event.
func (f *forwarder) isStream(answer *dispatch.Response) bool {
	return f.route.Streams && answer.Status == http.StatusOK && f.call.Method != http.MethodHead
}

// readEvents reports the events of a stream as they arrive, and reads no further until each is delivered. It reports complete events
// only, so that another endpoint can resume after the last one. It returns an error when the stream breaks off, which includes an end
// inside an event, and at an event that does not go on with what the caller has from another endpoint.
func (a *attempt) readEvents() error {
	if !a.info.Signed {
		return fault.New(fault.EndpointFault, "the stream has no signature", "check the endpoint's logs")
	}
	if contentType := a.answer.Header.Get("Content-Type"); a.resumes && contentType != a.resumedType {
		return fault.New(fault.EndpointFault, "the stream was resumed with the content type "+strconv.Quote(contentType), "check the endpoint's logs")
	}
	lastID := a.resumeAfter
	events := bufio.NewScanner(a.answer)
	events.Buffer(make([]byte, 0, initialEventBytes), maxEventBytes)
	kept := budget.Growth{Budget: a.f.g.kept, Free: freeEventBytes}
	defer kept.Release()
	events.Split(splitWithin(&kept))
	empty := true
	for events.Scan() {
		empty = false
		kind := reportComment
		if isProgress(events.Bytes()) {
			kind = reportEvent
			if a.resumes && !continues(events.Bytes(), lastID) {
				return fault.New(fault.EndpointFault, "the stream was resumed with something other than the next event after "+lastID, "check the endpoint's logs")
			}
			lastID = eventIDOf(events.Bytes(), lastID)
		}
		a.stall.pause() // while the caller reads slowly, the endpoint is not at fault
		a.hand(report{kind: kind, event: events.Bytes()})
		if a.ctx.Err() != nil {
			return context.Cause(a.ctx)
		}
		if kind == reportEvent {
			a.stall.restart(pauseTimeout(a.f.route.PauseObjective))
		} else {
			a.stall.resume()
		}
	}
	if events.Err() == nil && empty && a.framing == dispatch.Unframed {
		return fault.New(fault.EndpointFault, "the stream ended with its connection before any event", "check whether the endpoint crashed")
	}
	return events.Err()
}

// deliverEvent forwards an event or a comment to the caller. It returns false if the caller has disconnected or stopped reading.
func (f *forwarder) deliverEvent(a *attempt, r report) (connected bool) {
	f.sendStreamHeader(a.answer)
	if err := f.newCallerWriter().writeEvent(r.event); err != nil {
		f.endCall(errCallerLeft)
		return false
	}
	if r.kind == reportEvent {
		if a.firstEvent.IsZero() {
			a.firstEvent = time.Now()
		}
		f.stream.recordEvent(r.event, f.arrived)
	}
	return true
}

// recordWholeStream records that the endpoint has sent the stream to its end.
func (f *forwarder) recordWholeStream(a *attempt) {
	f.g.recordSuccess(a.endpoint)
	f.g.recordAnswer(a.endpoint, false)
	f.recordWholeAnswer()
}

// sendStreamHeader sends the answer's header to the caller unless a header was sent already.
func (f *forwarder) sendStreamHeader(answer *dispatch.Response) {
	if f.stream == nil {
		f.stream = &streamState{}
	}
	if f.stream.headerSent {
		return
	}
	f.copyHeader(answer)
	f.w.WriteHeader(answer.Status)
	f.stream.headerSent, f.stream.contentType = true, answer.Header.Get("Content-Type")
}
