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
	eventBytes    = 4 << 10 // of a usual event, the first size of the buffer
	maxEventBytes = 1 << 20
)

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// streamState is how far a stream has come at the caller.
type streamState struct {
	begun  bool          // its header has gone to the caller
	last   string        // id of the last whole event that went to the caller
	first  time.Duration // after which the first event went to the caller
	pause  time.Duration // longest one between two events
	lastAt time.Time
}

// passed takes note of an event that went to the caller.
func (s *streamState) passed(event []byte, arrived time.Time) {
	now := time.Now()
	if s.lastAt.IsZero() {
		s.first = now.Sub(arrived)
	} else {
		s.pause = max(s.pause, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.last = idOf(event, s.last)
}

// deliverStream passes the events of a stream on as they arrive, whole ones only, so that another endpoint can go on
// after the last one. It returns false when the stream broke off.
func (f *flow) deliverStream(endpoint *catalog.Endpoint, answer *dispatch.Answer, reply call.Reply) bool {
	if f.stream == nil {
		f.stream = &streamState{}
	}
	if !reply.Signed {
		f.broken(endpoint, fault.New(fault.EndpointFault, "the stream bears no signature", "look into the endpoint"))
		return false
	}
	events := bufio.NewScanner(answer)
	events.Buffer(make([]byte, 0, eventBytes), maxEventBytes)
	events.Split(splitEvents)
	flusher, _ := f.w.(http.Flusher)
	defer f.watch.stop()
	var rest []byte // after the last whole event; it belongs to the stream only if that is complete
	for events.Scan() {
		event := events.Bytes()
		if !bytes.HasSuffix(event, eventEnd) {
			rest = bytes.Clone(event)
			continue
		}
		f.watch.progress()
		f.begin(answer)
		if _, err := f.w.Write(event); err != nil {
			f.end() // the caller has gone
			return true
		}
		flusher.Flush()
		f.stream.passed(event, f.arrived)
	}
	if err := events.Err(); err != nil {
		f.broken(endpoint, err)
		return false
	}
	f.g.sound(endpoint)
	f.begin(answer)
	_, _ = f.w.Write(rest) // fails only if the caller has gone
	return true
}

// begin sends the header of the first endpoint that had an event.
func (f *flow) begin(answer *dispatch.Answer) {
	if f.stream.begun {
		return
	}
	f.writeHeader(answer)
	f.w.WriteHeader(answer.Status)
	f.stream.begun = true
}

// splitEvents is a bufio.SplitFunc whose tokens are events with the blank line that ends them.
func splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	if end := bytes.Index(data, eventEnd); end >= 0 {
		length := end + len(eventEnd)
		return length, data[:length], nil
	}
	if atEOF && len(data) > 0 {
		return len(data), data, nil
	}
	return 0, nil, nil
}

// idOf returns the id of the event, or the last one if it has none.
func idOf(event []byte, last string) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, eventID); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return last
}
