package gateway

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/lovageglade/lovageglade/internal/budget"
	"github.com/lovageglade/lovageglade/internal/fault"
)

const lineBreaks = "\r\n"

var (
	eventIDPrefix = []byte("id:")
	// eventTerminators are the blank lines that end an event. Lines end with LF, CR LF or CR.
	eventTerminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}
)

// splitEvents is a bufio.SplitFunc that returns each event together with the blank line that ends it. It returns an error of
// kind EndpointFault if the data ends inside an event.
func splitEvents(data []byte, atEOF bool) (int, []byte, error) {
	if length := firstEventLength(data); length > 0 {
		return length, data[:length], nil
	}
	if !atEOF || len(data) == 0 {
		return 0, nil, nil
	}
	if len(bytes.Trim(data, lineBreaks)) == 0 {
		return len(data), data, nil // blank lines after the last event
	}
	return 0, nil, fault.New(fault.EndpointFault, "the stream ended inside an event, after "+strconv.Itoa(len(data))+" bytes of it", "check whether the endpoint crashed")
}

// bufferGrowth is by how much a bufio.Scanner enlarges its buffer for an event that does not fit.
const bufferGrowth = 2

// splitWithin returns splitEvents with an account of the scanner's buffer. It returns an error of kind EndpointFault if there is no room
// for a larger one.
func splitWithin(kept *budget.Growth) bufio.SplitFunc {
	return func(data []byte, atEOF bool) (int, []byte, error) {
		length, event, err := splitEvents(data, atEOF)
		if size := bufferGrowth * int64(len(data)); length == 0 && err == nil && size > kept.Size() && !kept.Resize(size) {
			err = fault.New(fault.EndpointFault, "there is no room for an event of more than "+strconv.Itoa(len(data))+" bytes", "check what the endpoints send")
		}
		return length, event, err
	}
}

// firstEventLength returns the length of the first event with its blank line; 0 if the event is incomplete.
func firstEventLength(data []byte) int {
	first := 0
	for _, terminator := range eventTerminators {
		if i := bytes.Index(data, terminator); i >= 0 && (first == 0 || i+len(terminator) < first) {
			first = i + len(terminator)
		}
	}
	return first
}

// isProgress reports whether the event has a line that is not a comment. An endpoint that is stuck may still send comments.
func isProgress(event []byte) bool {
	isLineBreak := func(r rune) bool { return r == '\r' || r == '\n' }
	for line := range bytes.FieldsFuncSeq(event, isLineBreak) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// continues reports whether the event may follow the one with lastID: each line is a field or a comment, and its id is higher. Ids
// that are no numbers need only differ.
func continues(event []byte, lastID string) bool {
	isLineBreak := func(r rune) bool { return r == '\r' || r == '\n' }
	for line := range bytes.FieldsFuncSeq(event, isLineBreak) {
		if name, _, _ := bytes.Cut(line, []byte(":")); !isFieldName(name) {
			return false
		}
	}
	id := eventIDOf(event, "")
	number, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(lastID, 10, 64)
	if err == nil && lastErr == nil {
		return number > last
	}
	return id != "" && id != lastID
}

// isFieldName reports whether the name is that of a field of an event, or "" for a comment. Other texts, such as the head of a
// response, have spaces or capital letters.
func isFieldName(name []byte) bool {
	return len(bytes.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-")) == 0
}

// eventIDOf returns the id of the event, or lastID if the event has none.
func eventIDOf(event []byte, lastID string) string {
	isLineBreak := func(r rune) bool { return r == '\r' || r == '\n' }
	for line := range bytes.FieldsFuncSeq(event, isLineBreak) {
		if value, ok := bytes.CutPrefix(line, eventIDPrefix); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return lastID
}
