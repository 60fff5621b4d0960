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

func newTestObserver(out *bytes.Buffer) *observer {
	logger := telemetry.NewLogger("debug", "e1")
	logger.Writer = &log.IOWriter{Writer: out}
	return newObserver(logger)
}

func newTestRequest() *request {
	return &request{id: "req", service: &config.Service{Name: "chat", Kind: config.KindModel}, workspace: "space"}
}

// recordedSum returns the counts recorded in the last hour.
func recordedSum(t *testing.T, o *observer) *burn.Stats {
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

func TestOutcomesCountAgainstErrorBudget(t *testing.T) {
	refusal := fault.New(fault.Overloaded, "too many requests", "retry later")
	for _, test := range []struct {
		name       string
		status     int
		outcome    fault.Outcome
		err        error
		total, bad uint64
	}{
		{"complete", 200, "", nil, 1, 0},
		{"answered with a client error", 404, "", nil, 1, 0},
		{"answered with a server error", 500, "", nil, 1, 1},
		{"refused", 200, fault.NotRun, refusal, 1, 1},
		{"unknown outcome", 200, fault.Unknown, fault.New(fault.LostOutcome, "lost", "look"), 1, 1},
		{"caller's fault", 200, fault.NotRun, fault.New(fault.IdempotencyConflict, "other body", "send a new key"), 0, 0},
	} {
		var out bytes.Buffer
		o := newTestObserver(&out)
		current := o.newObservation(newTestRequest(), newAnswer(nil))
		current.setHead(test.status, "application/json")
		current.finish(test.outcome, test.err)
		if passed := current.answer; passed.outcome != test.outcome || passed.err != test.err {
			t.Errorf("%s: the answer got outcome %v, error %v", test.name, passed.outcome, passed.err)
		}
		if sum := recordedSum(t, o); sum.Total != test.total || sum.Bad != test.bad {
			t.Errorf("%s: recorded %d requests, %d bad", test.name, sum.Total, sum.Bad)
		}
	}
}

func TestStreamLatenciesAreRecorded(t *testing.T) {
	var out bytes.Buffer
	o := newTestObserver(&out)
	for _, contentType := range []string{"text/event-stream", "application/json"} {
		current := o.newObservation(newTestRequest(), newAnswer(nil))
		current.start = current.start.Add(-400 * time.Millisecond)
		current.setHead(200, contentType)
		for range 4 {
			current.write(context.Background(), []byte("x"))
		}
		current.finish("", nil)
	}
	sum := recordedSum(t, o)
	firsts, late := sum.CountAbove(burn.MeasureFirstToken, 399)
	gaps, _ := sum.CountAbove(burn.MeasureBetweenTokens, 0)
	if sum.Total != 2 || firsts != 1 || late != 1 || gaps != 3 {
		t.Errorf("%d requests, %d first tokens of which %d late, %d gaps", sum.Total, firsts, late, gaps)
	}
}

func TestRequestLogNamesRequestAndAttempt(t *testing.T) {
	var out bytes.Buffer
	current := newTestObserver(&out).newObservation(newTestRequest(), newAnswer(nil))
	current.attemptStarted("one")
	current.attemptStarted("two")
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
		t.Errorf("log line %s", lines[len(lines)-1])
	}
}

func TestDisconnectedCallerSpendsNoErrorBudget(t *testing.T) {
	var out bytes.Buffer
	o := newTestObserver(&out)
	current := o.newObservation(newTestRequest(), newAnswer(nil))
	close(current.callerGone)
	current.finish(fault.Unknown, fault.New(fault.Interrupted, "the caller has gone", "send the request again"))
	if sum := recordedSum(t, o); sum.Total != 0 || !bytes.Contains(out.Bytes(), []byte(`"outcome":"caller_gone"`)) {
		t.Errorf("%d requests recorded; %s", sum.Total, &out)
	}
}
