package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/burn"
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

func observed(out *bytes.Buffer) *observer {
	logger := telemetry.NewLogger("debug", "e1")
	logger.Writer = &log.IOWriter{Writer: out}
	return newObserver(logger)
}

func observedRequest() *request {
	return &request{id: "req", service: &config.Service{Name: "chat", Kind: config.KindModel}, workspace: "space"}
}

// total returns the sum over the last hour, decoded.
func total(t *testing.T, o *observer) *burn.Stats {
	t.Helper()
	answer := o.recorder.Windows(o.now(), burn.WindowsRequest{WindowsS: []int64{3600}}, nil)
	if len(answer.Series) == 0 {
		return &burn.Stats{}
	}
	if key := answer.Series[0].Key; key != (burn.Key{Service: "chat", Workspace: "space"}) {
		t.Errorf("recorded under %+v", key)
	}
	sum, err := answer.Series[0].Windows[0].Decode()
	if err != nil {
		t.Fatal(err)
	}
	return sum
}

func TestOutcomesSpendBudget(t *testing.T) {
	refusal := fault.New(fault.Overloaded, "too much", "come back")
	for _, test := range []struct {
		name       string
		status     int
		outcome    fault.Outcome
		err        error
		total, bad uint64
	}{
		{"whole", 200, "", nil, 1, 0},
		{"answered with a caller's error", 404, "", nil, 1, 0},
		{"answered with a server error", 500, "", nil, 1, 1},
		{"refused", 200, fault.NotRun, refusal, 1, 1},
		{"unknown", 200, fault.Unknown, fault.New(fault.LostOutcome, "lost", "look"), 1, 1},
		{"caller's fault", 200, fault.NotRun, fault.New(fault.KeyConflict, "other body", "send a new key"), 0, 0},
	} {
		var out bytes.Buffer
		o := observed(&out)
		current := o.observe(observedRequest(), newAnswer())
		current.head(test.status, "application/json")
		current.finish(test.outcome, test.err)
		if passed := current.answer; passed.outcome != test.outcome || passed.err != test.err {
			t.Errorf("%s: passed on %v, %v", test.name, passed.outcome, passed.err)
		}
		if sum := total(t, o); sum.Total != test.total || sum.Bad != test.bad {
			t.Errorf("%s: %d requests, %d bad", test.name, sum.Total, sum.Bad)
		}
	}
}

func TestStreamsAreTimed(t *testing.T) {
	var out bytes.Buffer
	o := observed(&out)
	for _, contentType := range []string{"text/event-stream", "application/json"} {
		current := o.observe(observedRequest(), newAnswer())
		current.begun = current.begun.Add(-400 * time.Millisecond)
		current.head(200, contentType)
		for range 4 {
			current.data(context.Background(), []byte("x"))
		}
		current.finish("", nil)
	}
	sum := total(t, o)
	firsts, late := sum.CountAbove(burn.MeasureFirstToken, 399)
	gaps, _ := sum.CountAbove(burn.MeasureBetweenTokens, 0)
	if sum.Total != 2 || firsts != 1 || late != 1 || gaps != 3 {
		t.Errorf("%d requests, %d first tokens of which %d late, %d gaps", sum.Total, firsts, late, gaps)
	}
}

func TestRequestLineNamesRequestAndAttempt(t *testing.T) {
	var out bytes.Buffer
	current := observed(&out).observe(observedRequest(), newAnswer())
	current.attempted("one")
	current.attempted("two")
	current.finish(fault.Unknown, fault.New(fault.LostOutcome, "lost", "look"))
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	var line struct {
		Request, Attempt, Service, Workspace, Outcome, Level, Message string
		Attempts                                                      int
	}
	if err := json.Unmarshal(lines[len(lines)-1], &line); err != nil {
		t.Fatal(err)
	}
	if line.Request != "req" || line.Attempt != "two" || line.Attempts != 2 || line.Outcome != "unknown" || line.Level != "warn" || line.Message != "request ended" {
		t.Errorf("line %s", lines[len(lines)-1])
	}
}

func TestCallerThatLeftSpendsNoBudget(t *testing.T) {
	var out bytes.Buffer
	o := observed(&out)
	current := o.observe(observedRequest(), newAnswer())
	close(current.gone)
	current.finish(fault.Unknown, fault.New(fault.Interrupted, "the caller has gone", "send the request again"))
	if sum := total(t, o); sum.Total != 0 || !bytes.Contains(out.Bytes(), []byte(`"outcome":"caller_gone"`)) {
		t.Errorf("%d requests recorded; %s", sum.Total, &out)
	}
}
