package explain

import (
	"fmt"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/lovageglade/lovageglade/internal/fault"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// logLine returns a log line as the processes write it, clock and up after noon and after the process start.
func logLine(host string, clock time.Duration, up time.Duration, fields string) string {
	at := noon.Add(clock).Format("2006-01-02T15:04:05.000Z")
	return fmt.Sprintf(`{"time":%q,"level":"info","host":%q,%s,"up_ms":%d}`, at, host, fields, up.Milliseconds())
}

func readLines(t *testing.T, files map[string][]string) []Line {
	t.Helper()
	folder := make(fstest.MapFS)
	for name, lines := range files {
		folder[name] = &fstest.MapFile{Data: []byte(strings.Join(lines, "\n"))}
	}
	lines, err := ReadLogs(folder)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

const second = time.Second

// The wall clock of the sidecar's host steps 2 s ahead between the two lines of the gateway and back later. Ordering by wall
// clock would put the sidecar's line after both.
func TestWallClockStepKeepsLineOrder(t *testing.T) {
	gateway := []string{
		logLine("gateway", 10*second, 10*second, `"request":"r1","message":"endpoint gave no answer"`),
		logLine("gateway", 10*second+40*time.Millisecond, 10040*time.Millisecond, `"request":"r1","message":"request refused"`),
	}
	sidecar := []string{
		logLine("sidecar", 1*second, 1*second, `"message":"sidecar started"`),
		logLine("sidecar", 5*second, 5*second, `"message":"version served changed"`),
		logLine("sidecar", 12*second+20*time.Millisecond, 10020*time.Millisecond, `"request":"r1","message":"engine gave no answer"`),
		logLine("sidecar", 13*second, 11*second, `"message":"version served changed"`),
		logLine("sidecar", 15*second, 15*second, `"message":"version served changed"`),
	}
	timeline, err := ForRequest(readLines(t, map[string][]string{"gateway.log": gateway, "sidecar.log": sidecar}), "r1")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, line := range timeline.RequestLines {
		got = append(got, line.Message)
	}
	want := "endpoint gave no answer, engine gave no answer, request refused"
	if strings.Join(got, ", ") != want {
		t.Errorf("messages are %v, want %s", got, want)
	}
}

func TestRestartResetsSteadyClock(t *testing.T) {
	lines := readLines(t, map[string][]string{"all.log": {
		logLine("gateway", 100*second, 100*second, `"request":"r1","message":"first incarnation"`),
		logLine("gateway", 103*second, 1*second, `"request":"r1","message":"second incarnation"`),
	}})
	if gap := lines[1].Time.Sub(lines[0].Time); gap != 3*second {
		t.Errorf("%v between the incarnations, want 3s", gap)
	}
}

func TestTimelineOfRefusedRequest(t *testing.T) {
	lines := readLines(t, map[string][]string{"collected.log": {
		"  12.5 gateway " + logLine("gateway", 20*second, 20*second, `"request":"r1","outcome":"overloaded","failed_picks":["i-1 load 4 of 4, report 20ms old: no room","i-2 load 1 of 4, no report: weights are loading"],"message":"request refused"`),
		logLine("sidecar-1", 20*second, 20*second, `"request":"r1","reason":"no room","running":4,"message":"request not admitted"`),
		logLine("sidecar-2", 19*second, 19*second, `"before":1,"version":0,"message":"version served changed"`),
		logLine("sidecar-2", 20*second, 20*second, `"request":"r1","reason":"weights are loading","message":"request not admitted"`),
		logLine("sidecar-3", 19*second, 19*second, `"before":1,"version":0,"message":"version served changed"`),
		logLine("gateway", 21*second, 21*second, `"dropped":7,"message":"log lines dropped; the output is not read or the bound is reached"`),
		"a foreign line",
		`{"time":"half a li`,
	}})
	timeline, err := ForRequest(lines, "r1")
	if err != nil {
		t.Fatal(err)
	}
	if len(timeline.RequestLines) != 3 || len(timeline.StateChanges) != 2 || timeline.Dropped != 7 {
		t.Errorf("%d request lines, %d state changes and %d dropped lines, want 3, 2 and 7", len(timeline.RequestLines), len(timeline.StateChanges), timeline.Dropped)
	}
	var out strings.Builder
	if err := timeline.Write(&out); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"cause: engines were changing their weights", "cause: engines ran as many requests", "* ", "sidecar-2", "before=1", "7 lines"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("the timeline lacks %q:\n%s", part, out.String())
		}
	}
	if strings.Contains(out.String(), "sidecar-3") {
		t.Error("the timeline includes a sidecar that did not handle the request")
	}
}

func TestUnknownRequest(t *testing.T) {
	if _, err := ForRequest(nil, "r1"); !fault.Is(err, fault.NotFound) || fault.Remedy(err) == "" {
		t.Errorf("error is %v, want NotFound with a remedy", err)
	}
}

// Lines of earlier releases and of this one lead to the same cause.
func TestCausesOfWithdrawnEndpoints(t *testing.T) {
	for reason, want := range map[string]string{
		"engine is leaving":                                    "engines were shutting down",
		"engine wants no requests for some time":               "endpoints had asked for no requests for some time",
		"engine is cold and has reached its request rate":      "engines had just started and were sent no more than their request rate while cold",
		"engine is cold and has got what it bears this second": "engines had just started and were sent no more than their request rate while cold",
	} {
		lines := readLines(t, map[string][]string{"all.log": {logLine("sidecar", 10*second, 10*second, `"request":"r1","reason":"`+reason+`","message":"request not admitted"`)}})
		timeline, err := ForRequest(lines, "r1")
		if err != nil {
			t.Fatal(err)
		}
		if got := timeline.Causes(); len(got) != 1 || got[0] != want {
			t.Errorf("%s: causes are %q, want %q", reason, got, want)
		}
	}
}
