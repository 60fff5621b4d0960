package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/wire"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// An engine that is slower than it states begins requests later than forecast, also after the bound of the version by which they were
// admitted. While a request waits longer than forecast, others are admitted only with as much time to spare.
func TestRequestsAreNotAdmittedByForecastsThatTheEngineMisses(t *testing.T) {
	const (
		bound    = 6 * time.Second
		sendTime = 300 * time.Millisecond // ample for a request to reach the engine
	)
	var count atomic.Int32
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if count.Add(1) == 1 {
			<-done
		}
		w.Header().Set(platformtest.HeaderAttempt, r.Header.Get(platformtest.HeaderAttempt))
		w.WriteHeader(http.StatusOK)
	}))
	t.Cleanup(server.Close)
	engine := &fakeEngine{staged: make(map[int][]byte), corruptChunk: -1, version: 1}
	source := &fakeSource{step: time.Millisecond}
	s, stop := startSidecar(engine, &fakeOrigin{unavailableVersion: 2}, source, "127.0.0.1:9", &log.Logger{Level: log.PanicLevel}, func(s *Sidecar) {
		s.settings.VersionRolloutMs = settings.Millis(bound.Milliseconds())
		s.settings.EngineAddress = strings.TrimPrefix(server.URL, "http://")
	})
	t.Cleanup(stop)
	var waiting sync.WaitGroup
	defer waiting.Wait()
	defer close(done)
	waitFor(t, "the gate to open", func() bool { return s.servingVersion.Load() == 1 && s.gate.Load().Limit == 2 })
	address := serve(t, s.serveRelay)
	refused := func(id string) string {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", http.NoBody)
		if err != nil {
			t.Error(err)
			return ""
		}
		request.Header.Set(platformtest.HeaderAttempt, id)
		answer, err := (&http.Client{Timeout: testTimeout}).Do(request)
		if err != nil {
			t.Error(err)
			return ""
		}
		answer.Body.Close()
		return answer.Header.Get(wire.HeaderRefused)
	}
	source.requestVersion(2)
	waitFor(t, "the deadline of version 1", func() bool { return s.serveDeadline.Load() > 0 })
	sent := time.Now()
	waiting.Go(func() { refused("waits") })
	waitFor(t, "the request at the engine", func() bool { return count.Load() == 1 })
	if got := refused("early"); got != "" {
		t.Errorf("a request that can begin in time is refused with %q", got)
	}
	waitFor(t, "less time than the request has waited", func() bool { return s.serveTimeLeft() < time.Since(sent)-sendTime })
	got := refused("late")
	if left := s.serveTimeLeft(); left <= 0 {
		t.Fatalf("the request was sent too late for the test: %v left", left)
	}
	if got != refusedVersionChange {
		t.Errorf("a request that may begin after the deadline is refused with %q, want %q", got, refusedVersionChange)
	}
}
