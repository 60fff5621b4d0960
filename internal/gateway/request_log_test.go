package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// loggedLines returns the fields of the log lines with the message.
func loggedLines(t *testing.T, lines *bytes.Buffer, message string) []map[string]any {
	t.Helper()
	var found []map[string]any
	for _, raw := range bytes.Split(bytes.TrimSpace(lines.Bytes()), []byte("\n")) {
		var fields map[string]any
		if err := json.Unmarshal(raw, &fields); err != nil {
			t.Fatalf("%s: %v", raw, err)
		}
		if fields["message"] == message {
			found = append(found, fields)
		}
	}
	return found
}

func requireFields(t *testing.T, lines []map[string]any, names ...string) {
	t.Helper()
	if len(lines) == 0 {
		t.Error("no such log line")
	}
	for _, line := range lines {
		for _, name := range names {
			if _, ok := line[name]; !ok {
				t.Errorf("%q lacks the field %s: %v", line["message"], name, line)
			}
		}
	}
}

// Each log line about a request must hold the request's id, the inputs of the decision with their age or version, and the
// outcome. lovagectl explain reads them.
func TestRequestLogLinesHaveTheirFields(t *testing.T) {
	fx := newFixture(t)
	var lines bytes.Buffer
	fx.gateway.logger = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &lines}}
	first, second := fx.startBackend("i-1", "e"), fx.startBackend("i-2", "e")
	answers := []int{http.StatusOK, http.StatusServiceUnavailable}
	for _, want := range answers {
		if answer := fx.mustCall(pathIdempotent, nil); answer.status != want {
			t.Errorf("status %d, want %d", answer.status, want)
		}
		for _, r := range []*platformtest.Runner{first, second} {
			r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) { r.Reject(rw, run) })
		}
	}
	fx.mustCall("/nowhere/1", nil)
	requireFields(t, loggedLines(t, &lines, "request answered"), "request", "route", "endpoint", "load", "slots", "report_age", "picks", "runs", "framing", "took", "configuration", "workspace", "identity")
	refused := loggedLines(t, &lines, "request refused")
	requireFields(t, refused, "request", "outcome", "status", "cause", "configuration", "configuration_age")
	requireFields(t, refused[:1], "route", "failed_picks", "retry_after", "runs", "took")
}
