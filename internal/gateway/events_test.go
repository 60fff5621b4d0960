package gateway

import (
	"bufio"
	"strings"
	"testing"

	"github.com/lovageglade/lovageglade/internal/fault"
)

func TestSplitEvents(t *testing.T) {
	for _, test := range []struct {
		data   string
		atEOF  bool
		token  string
		broken bool
	}{
		{data: "id: 1\ndata: x\n\nid: 2", token: "id: 1\ndata: x\n\n"},
		{data: "id: 1\ndata: x\n\nid: 2", atEOF: true, token: "id: 1\ndata: x\n\n"},
		{data: "id: 1\r\ndata: x\r\n\r\nid: 2\n\n", token: "id: 1\r\ndata: x\r\n\r\n"},
		{data: "id: 1\rdata: x\r\rid: 2", token: "id: 1\rdata: x\r\r"},
		{data: "id: 1\ndata: x\n"},
		{data: "id: 1\nda", atEOF: true, broken: true},
		{data: "id: 1\ndata: x\n", atEOF: true, broken: true},
		{data: "id: 1\r\ndata: x\r\n", atEOF: true, broken: true},
		{data: "\n", atEOF: true, token: "\n"},
		{data: "", atEOF: true},
	} {
		_, token, err := splitEvents([]byte(test.data), test.atEOF)
		if broken := fault.Is(err, fault.EndpointFault); broken != test.broken || string(token) != test.token {
			t.Errorf("splitting %q: token %q, error %v", test.data, token, err)
		}
	}
}

func TestEventID(t *testing.T) {
	for _, event := range []string{"x-weight-versions: 2\nid: 7\ndata: id: 9\n\n", "id:7\r\ndata: x\r\n\r\n", "data: x\rid: 7\r\r"} {
		if id := eventIDOf([]byte(event), "1"); id != "7" {
			t.Errorf("the id of %q is %s, want 7", event, id)
		}
	}
	if id := eventIDOf([]byte("data: x\n\n"), "1"); id != "1" {
		t.Errorf("the id of an event without one is %s, want that of the last event", id)
	}
}

// FuzzSplitEvents checks that no byte is lost or added, and that a stream counts as whole only if it ends after a blank line.
func FuzzSplitEvents(f *testing.F) {
	for _, seed := range []string{"id: 1\n\n", "id: 1\r\n\r\nid: 2", "a\r\r\n", "\n\n\n", "a\n\r"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, stream string) {
		events := bufio.NewScanner(strings.NewReader(stream))
		events.Buffer(nil, maxEventBytes)
		events.Split(splitEvents)
		var joined strings.Builder
		for events.Scan() {
			joined.Write(events.Bytes())
		}
		if !strings.HasPrefix(stream, joined.String()) {
			t.Fatalf("%q is not a prefix of %q", joined.String(), stream)
		}
		if events.Err() == nil && joined.String() != stream {
			t.Fatalf("%q is whole, but %q was read", stream, joined.String())
		}
		content := strings.Trim(stream, lineBreaks)
		if events.Err() == nil && content != "" && !endsWithBlankLine(stream) {
			t.Fatalf("%q counts as whole", stream)
		}
	})
}

func endsWithBlankLine(stream string) bool {
	text := strings.ReplaceAll(strings.ReplaceAll(stream, "\r\n", "\n"), "\r", "\n")
	return strings.HasSuffix(text, "\n\n")
}
