package gateway

import (
	"bufio"
	"time"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/fault"
)

const (
	initialEventBytes = 4 << 10 // initial buffer size; fits a typical event
	maxEventBytes     = 1 << 20
)

// streamState tracks what the caller has received of a stream.
type streamState struct {
	headerSent   bool          // the header was sent to the caller
	lastEventID  string        // id of the last complete event that was sent to the caller
	firstEvent   time.Duration // time from the request's arrival to the first event
	longestPause time.Duration // longest pause between two events
	lastEventAt  time.Time
	attemptBegan time.Time // when the first event of the current attempt arrived
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
	if s.attemptBegan.IsZero() {
		s.attemptBegan = now
	}
	s.lastEventID = eventIDOf(event, s.lastEventID)
}

// deliverStream forwards the events of a stream as they arrive. It forwards complete events only, so that another endpoint
// can resume after the last one. It returns false when the stream breaks off, which includes an end inside an event.
func (f *forwarder) deliverStream(endpoint *catalog.Endpoint, answer *dispatch.Response, info call.ResponseInfo) bool {
	if f.stream == nil {
		f.stream = &streamState{}
	}
	f.stream.attemptBegan = time.Time{}
	if !info.Signed {
		f.recordBrokenAnswer(endpoint, fault.New(fault.EndpointFault, "the stream has no signature", "check the endpoint's logs"))
		return false
	}
	connected, err := f.forwardEvents(answer)
	if err != nil {
		f.recordBrokenAnswer(endpoint, err)
		return false
	}
	if !connected {
		f.endCall(errCallerLeft)
		return true
	}
	f.g.recordSuccess(endpoint)
	f.g.recordAnswer(endpoint, false)
	f.recordWholeAnswer()
	f.sendStreamHeader(answer)
	return true
}

// forwardEvents forwards the answer's events to the caller. It returns an error if the stream breaks off, and false if the
// caller has disconnected or stopped reading.
func (f *forwarder) forwardEvents(answer *dispatch.Response) (connected bool, err error) {
	events := bufio.NewScanner(answer)
	events.Buffer(make([]byte, 0, initialEventBytes), maxEventBytes)
	events.Split(splitEvents)
	caller := f.newCallerWriter()
	defer f.stall.stop()
	empty := true
	for events.Scan() {
		empty = false
		progress := isProgress(events.Bytes())
		if progress {
			f.stall.stop() // while the caller reads slowly, the endpoint is not at fault
		}
		f.sendStreamHeader(answer)
		if err := caller.writeEvent(events.Bytes()); err != nil {
			return false, nil
		}
		if progress {
			f.stream.recordEvent(events.Bytes(), f.arrived)
			f.stall.reset()
		}
	}
	if events.Err() == nil && empty && f.framing == dispatch.Unframed {
		return true, fault.New(fault.EndpointFault, "the stream ended with its connection before any event", "check whether the endpoint crashed")
	}
	return true, events.Err()
}

// sendStreamHeader sends the answer's header to the caller unless a header was sent already.
func (f *forwarder) sendStreamHeader(answer *dispatch.Response) {
	if f.stream.headerSent {
		return
	}
	f.copyHeader(answer)
	f.w.WriteHeader(answer.Status)
	f.stream.headerSent = true
}
