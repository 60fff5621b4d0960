package gateway

import (
	"bufio"
	"net/http"
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

// deliverStream forwards the events of a stream as they arrive. It forwards complete events only, so that another endpoint
// can resume after the last one. It returns false when the stream breaks off, which includes an end inside an event.
func (f *forwarder) deliverStream(endpoint *catalog.Endpoint, answer *dispatch.Response, info call.ResponseInfo) bool {
	if f.stream == nil {
		f.stream = &streamState{}
	}
	if !info.Signed {
		f.recordBrokenAnswer(endpoint, fault.New(fault.EndpointFault, "the stream has no signature", "check the endpoint's logs"))
		return false
	}
	events := bufio.NewScanner(answer)
	events.Buffer(make([]byte, 0, initialEventBytes), maxEventBytes)
	events.Split(splitEvents)
	flusher, _ := f.w.(http.Flusher)
	defer f.stall.stop()
	for events.Scan() {
		event := events.Bytes()
		f.stall.reset()
		f.sendStreamHeader(answer)
		if _, err := f.w.Write(event); err != nil {
			f.cancel() // the caller has disconnected
			return true
		}
		flusher.Flush()
		f.stream.recordEvent(event, f.arrived)
	}
	if err := events.Err(); err != nil {
		f.recordBrokenAnswer(endpoint, err)
		return false
	}
	f.g.recordSuccess(endpoint)
	f.sendStreamHeader(answer)
	return true
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
