package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/wire"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// An engine falls behind after a request was admitted, and would begin it on an old version after its bound. A request that may run again
// is taken back from the engine before the bound and refused, so that another engine runs it. One that must not is left to the engine.
func TestRequestThatHasNotBegunByTheBoundOfItsVersionIsTakenBack(t *testing.T) {
	const bound = 5 * time.Second
	for _, repeatable := range []bool{true, false} {
		left := make(chan time.Time, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			timer := time.NewTimer(bound + time.Second)
			defer timer.Stop()
			select {
			case <-r.Context().Done():
				left <- time.Now()
			case <-timer.C:
				w.Header().Set(platformtest.HeaderAttempt, r.Header.Get(platformtest.HeaderAttempt))
				w.WriteHeader(http.StatusOK)
			}
		}))
		t.Cleanup(server.Close)
		engine := &fakeEngine{staged: make(map[int][]byte), corruptChunk: -1, version: 1}
		source := &fakeSource{step: time.Millisecond}
		s, stop := startSidecar(engine, &fakeOrigin{unavailableVersion: 2}, source, "127.0.0.1:9", &log.Logger{Level: log.PanicLevel}, func(s *Sidecar) {
			s.settings.VersionRolloutMs = settings.Millis(bound.Milliseconds())
			s.settings.EngineAddress = strings.TrimPrefix(server.URL, "http://")
		})
		waitFor(t, "the gate to open", func() bool { return s.servingVersion.Load() == 1 && s.gate.Load().Limit == 2 })
		address := serve(t, s.serveRelay)
		source.requestVersion(2)
		requested := time.Now()
		waitFor(t, "the deadline of version 1", func() bool { return s.serveDeadline.Load() > 0 })
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(platformtest.HeaderAttempt, "slow")
		if repeatable {
			request.Header.Set(wire.HeaderRepeatable, "1")
		}
		answer, err := (&http.Client{Timeout: testTimeout}).Do(request)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		stop()
		if !repeatable {
			if answer.StatusCode != http.StatusOK {
				t.Errorf("a request that must not run again got status %d, %q", answer.StatusCode, answer.Header.Get(wire.HeaderRefused))
			}
			continue
		}
		if got := answer.Header.Get(wire.HeaderRefused); got != refusedVersionChange {
			t.Errorf("a request that has not begun is refused with %q, want %q", got, refusedVersionChange)
		}
		if answer.Header.Get(wire.HeaderTakenBack) == "" {
			t.Error("the refusal does not tell that the engine had received the request")
		}
		select {
		case at := <-left:
			if after := at.Sub(requested); after > bound {
				t.Errorf("the engine lost the request %v after the version was requested, want within %v", after, bound)
			}
		case <-time.After(testTimeout):
			t.Error("the request is still at the engine")
		}
	}
}
