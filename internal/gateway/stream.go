package gateway

import (
	"bufio"
	"bytes"
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/fault"
)

const (
	initialEventBytes = 4 << 10 // of a usual event, the first size of the buffer
	maxEventBytes     = 1 << 20
)

var (
	eventTerminator = []byte("\n\n")
	eventIDPrefix   = []byte("id:")
)

// streamState is how far a stream has come at the caller.
type streamState struct {
	headerSent   bool          // its header has gone to the caller
	lastEventID  string        // id of the last whole event that went to the caller
	firstEvent   time.Duration // after which the first event went to the caller
	longestPause time.Duration // longest one between two events
	lastEventAt  time.Time
}

// passed takes note of an event that went to the caller.
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

// deliverStream passes the events of a stream on as they arrive, whole ones only, so that another endpoint can go on
// after the last one. It returns false when the stream broke off.
func (f *forwarder) deliverStream(endpoint *catalog.Endpoint, answer *dispatch.Answer, reply call.Reply) bool {
	if f.stream == nil {
		f.stream = &streamState{}
	}
	if !reply.Signed {
		f.recordBrokenAnswer(endpoint, fault.New(fault.EndpointFault, "the stream bears no signature", "look into the endpoint"))
		return false
	}
	events := bufio.NewScanner(answer)
	events.Buffer(make([]byte, 0, initialEventBytes), maxEventBytes)
	events.Split(splitEvents)
	flusher, _ := f.w.(http.Flusher)
	defer f.stall.stop()
	var partialEvent []byte // after the last whole event; it belongs to the stream only if that is complete
	for events.Scan() {
		event := events.Bytes()
		if !bytes.HasSuffix(event, eventTerminator) {
			partialEvent = bytes.Clone(event)
			continue
		}
		f.stall.reset()
		f.sendStreamHeader(answer)
		if _, err := f.w.Write(event); err != nil {
			f.cancel() // the caller has gone
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
	_, _ = f.w.Write(partialEvent) // fails only if the caller has gone
	return true
}

// begin sends the header of the first endpoint that had an event.
func (f *forwarder) sendStreamHeader(answer *dispatch.Answer) {
	if f.stream.headerSent {
		return
	}
	f.copyHeader(answer)
	f.w.WriteHeader(answer.Status)
	f.stream.headerSent = true
}

// splitEvents is a bufio.SplitFunc whose tokens are events with the blank line that ends them.
func splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	if end := bytes.Index(data, eventTerminator); end >= 0 {
		length := end + len(eventTerminator)
		return length, data[:length], nil
	}
	if atEOF && len(data) > 0 {
		return len(data), data, nil
	}
	return 0, nil, nil
}

// idOf returns the id of the event, or the last one if it has none.
func eventIDOf(event []byte, lastID string) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, eventIDPrefix); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return lastID
}
