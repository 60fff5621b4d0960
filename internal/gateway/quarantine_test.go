package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/quarantine"
	"github.com/lovageglade/lovageglade/internal/wire"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// withPrompt adds a prompt with a common part, the part and one of the request's own.
func withPrompt(part string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(platformtest.HeaderPrompt, "common:40,"+part+":300,own:10") }
}

// quarantinePart records crashes under requests with the part until it is quarantined.
func (fx *fixture) quarantinePart(part core.PromptPart) {
	fx.t.Helper()
	for _, id := range []core.RequestID{"r1", "r2", "r3"} {
		time.Sleep(200 * time.Millisecond) // simultaneous crashes count as one
		fx.gateway.quarantine.RecordCrash("", []quarantine.Suspect{{Request: id, Parts: []core.PromptPart{part}}})
	}
	fx.waitFor("the quarantine", func() bool {
		return len(fx.gateway.quarantine.Blocked([]core.PromptPart{part})) > 0
	})
}

func TestRequestWithAQuarantinedPartIsRefusedAtOnce(t *testing.T) {
	fx := newFixture(t)
	fx.gateway.settings.Delegates = []string{"127.0.0.1:1"} // keeps the trials
	backend := fx.startBackend("r1", "e")
	fx.quarantinePart("bad")
	got := fx.mustCall(pathModel, withPrompt("bad"))
	if seconds := retryAfter(t, got); got.status != http.StatusServiceUnavailable || seconds < quarantineRetryAfter.Seconds() {
		t.Errorf("status %d with Retry-After %v, want a refusal with a late retry", got.status, seconds)
	}
	if got := fx.mustCall(pathModel, withPrompt("good")); got.status != http.StatusOK || len(backend.Runs()) != 1 {
		t.Errorf("status %d, %d requests reached the endpoint, want one without the part", got.status, len(backend.Runs()))
	}
}

func TestTrialEndsAQuarantineWhenItsAnswerIsWhole(t *testing.T) {
	fx := newFixture(t)
	backend := fx.startBackend("r1", "e")
	fx.quarantinePart("mended")
	refused := 0
	fx.waitFor("a trial", func() bool {
		if fx.mustCall(pathModel, withPrompt("mended")).status != http.StatusOK {
			refused++
		}
		return len(backend.Runs()) > 0
	})
	if got := fx.mustCall(pathModel, withPrompt("mended")); got.status != http.StatusOK || refused == 0 {
		t.Errorf("status %d after a trial that was answered, and %d refusals before it", got.status, refused)
	}
}

func TestCrashedTrialIsNotRetried(t *testing.T) {
	fx := newFixture(t)
	var backends []*platformtest.Runner
	for _, id := range []string{"r1", "r2"} {
		backend := fx.startBackend(id, "e")
		backend.SetHandler(func(http.ResponseWriter, platformtest.Run) { platformtest.AbortConnection() })
		backends = append(backends, backend)
	}
	fx.quarantinePart("bad")
	statuses := make(map[int]int)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		statuses[fx.mustCall(pathModel, withPrompt("bad")).status]++
	}
	if statuses[http.StatusBadGateway] != 1 || statuses[http.StatusServiceUnavailable] == 0 {
		t.Errorf("answers by status: %v, want one trial whose outcome is unknown", statuses)
	}
	if runs := len(backends[0].Runs()) + len(backends[1].Runs()); runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}

func TestDirectRequestsShowCrashesOfTheirEngine(t *testing.T) {
	fx := newFixture(t)
	backend := fx.startBackend("r1", "e")
	backend.SetHandler(func(http.ResponseWriter, platformtest.Run) {
		backend.StopListening()
		go backend.Close()
		platformtest.AbortConnection()
	})
	fx.mustCall(pathModel, withPrompt("bad"))
	fx.waitFor("a crash", func() bool { return fx.gateway.quarantine.Crashes() == 1 })
}

// The same request comes again and again, each time with another id, and ends every endpoint that runs it.
func TestRequestThatCrashesItsEndpointsIsRefused(t *testing.T) {
	fx := newFixture(t)
	fx.gateway.settings.Delegates = []string{"127.0.0.1:1"} // keeps the trials
	attempts := 0
	repeat := func(body string) callResult {
		attempts++
		return fx.mustCall(pathAtMostOnce, func(r *http.Request) {
			r.Header.Set(platformtest.HeaderAttempt, "attempt-"+strconv.Itoa(attempts))
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		})
	}
	for _, id := range []string{"r1", "r2", "r3"} {
		time.Sleep(200 * time.Millisecond) // simultaneous crashes count as one
		backend := fx.startBackend(id, "e")
		backend.SetHandler(func(http.ResponseWriter, platformtest.Run) {
			backend.StopListening()
			go backend.Close()
			platformtest.AbortConnection()
		})
		for len(backend.Runs()) == 0 {
			repeat("fatal")
		}

	}
	fx.waitFor("all crashes", func() bool { return fx.gateway.quarantine.Crashes() == 3 })
	time.Sleep(400 * time.Millisecond) // until they count
	last := fx.startBackend("r4", "e")
	for range 10 {
		repeat("fatal")
	}
	if len(last.Runs()) > 0 {
		t.Errorf("the request reached another endpoint %d times after it had ended three", len(last.Runs()))
	}
	if got := repeat("another"); got.status != http.StatusOK {
		t.Errorf("another request was answered with %d", got.status)
	}
}

func TestCallersCannotMarkTheirRequestsAsTrials(t *testing.T) {
	fx := newFixture(t)
	backend := fx.startBackend("r1", "e")
	fx.mustCall(pathIdempotent, func(r *http.Request) { r.Header.Set(wire.HeaderTrial, "1") })
	if runs := backend.Runs(); len(runs) != 1 || runs[0].Header.Get(wire.HeaderTrial) != "" {
		t.Errorf("the header of a trial was passed on: %+v", runs)
	}
}
