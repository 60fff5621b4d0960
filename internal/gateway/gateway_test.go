package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

func TestAnAnswerIsPassedOnUnchanged(t *testing.T) {
	w := newWorld(t)
	r := w.runner("r1", "e")
	got := w.call(pathOnce+"?x=%2F", func(request *http.Request) {
		request.Header.Set(platformtest.HeaderWorkspace, "forged")
		request.Header.Set("Accept", "text/plain")
	})
	if got.status != http.StatusOK || got.body != "ok" || got.header.Get(platformtest.HeaderSignature) != "seal-of-r1" || got.header.Get(platformtest.HeaderAttempt) != "attempt-1" {
		t.Errorf("%+v", got)
	}
	run := r.Runs()[0]
	if run.Target != pathOnce+"?x=%2F" || run.Body != "body" || run.Method != http.MethodPost || run.Instance != "r1" || run.Tenant != "space" {
		t.Errorf("%+v ran", run)
	}
	if run.Header.Get(platformtest.HeaderKey) != "" || run.Header.Get("Accept") != "text/plain" || run.Header.Get("User-Agent") != "Go-http-client/1.1" {
		t.Errorf("header %v", run.Header)
	}
	if left, err := strconv.Atoi(run.Deadline); err != nil || left <= 0 || left > 4000 {
		t.Errorf("the endpoint is told %s ms", run.Deadline)
	}
}

func TestWhatTheConfigurationDoesNotAllowIsRefused(t *testing.T) {
	w := newWorld(t)
	r := w.runner("r1", "e")
	for _, test := range []struct {
		name, path string
		change     func(*http.Request)
		want       int
	}{
		{"no route", "/none/1", nil, http.StatusNotFound},
		{"other host", pathOnce, func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
		{"unknown key", pathOnce, func(r *http.Request) { r.Header.Set(platformtest.HeaderKey, platformtest.KeyScheme+"other") }, http.StatusUnauthorized},
		{"no key", pathOnce, func(r *http.Request) { r.Header.Del(platformtest.HeaderKey) }, http.StatusUnauthorized},
		{"bad deadline", pathOnce, func(r *http.Request) { r.Header.Set(platformtest.HeaderDeadline, "soon") }, http.StatusBadRequest},
		{"long body", pathOnce, func(r *http.Request) {
			r.Body, r.ContentLength = http.NoBody, 0
			r.Body = readCloser{strings.NewReader(strings.Repeat("x", 2000))}
			r.ContentLength = 2000
		}, http.StatusRequestEntityTooLarge},
		{"long body in chunks", pathOnce, func(r *http.Request) {
			r.Body = readCloser{strings.NewReader(strings.Repeat("x", 2000))}
			r.ContentLength = -1
		}, http.StatusRequestEntityTooLarge},
	} {
		if got := w.call(test.path, test.change); got.status != test.want {
			t.Errorf("%s: %d, want %d", test.name, got.status, test.want)
		}
	}
	if len(r.Runs()) != 0 {
		t.Errorf("%d refused requests ran", len(r.Runs()))
	}
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

func TestAPublicRouteNeedsNoKey(t *testing.T) {
	w := newWorld(t)
	r := w.runner("r1", "e")
	got := w.call(pathPublic, func(request *http.Request) { request.Header.Del(platformtest.HeaderKey) })
	if got.status != http.StatusOK || r.Runs()[0].Tenant != "" {
		t.Errorf("%+v", got)
	}
}

// TestALostAnswerIsNotRepeatedUnlessItMay breaks the connection after the request has run.
func TestALostAnswerIsNotRepeatedUnlessItMay(t *testing.T) {
	w := newWorld(t)
	first, second := w.runner("r1", "e"), w.runner("r2", "e")
	lose := func(http.ResponseWriter, platformtest.Run) { platformtest.BreakOff() }
	first.SetAnswer(lose)
	second.SetAnswer(lose)
	if got := w.call(pathOnce, nil); got.status != http.StatusBadGateway {
		t.Errorf("%d, want 502: it may have run", got.status)
	}
	if n := len(first.Runs()) + len(second.Runs()); n != 1 {
		t.Errorf("a request that may run once ran %d times", n)
	}
	var broken atomic.Bool
	for _, r := range []*platformtest.Runner{first, second} {
		r.SetAnswer(func(rw http.ResponseWriter, run platformtest.Run) {
			if !broken.Swap(true) {
				platformtest.BreakOff()
			}
			r.Reply(rw, run, http.StatusOK, "again")
		})
	}
	if got := w.call(pathSafe, nil); got.status != http.StatusOK || got.body != "again" {
		t.Errorf("%d %q, want the second endpoint's answer", got.status, got.body)
	}
}

func TestARejectionIsTriedElsewhere(t *testing.T) {
	w := newWorld(t)
	first, second := w.runner("r1", "e"), w.runner("r2", "e")
	first.SetAnswer(func(rw http.ResponseWriter, run platformtest.Run) { first.Reject(rw, run) })
	for range 6 {
		if got := w.call(pathOnce, nil); got.status != http.StatusOK {
			t.Fatalf("%d, want the second endpoint's answer", got.status)
		}
	}
	second.SetAnswer(func(rw http.ResponseWriter, run platformtest.Run) { second.Reject(rw, run) })
	got := w.call(pathOnce, nil)
	if got.status != http.StatusServiceUnavailable {
		t.Fatalf("%d, want 503: it has not run", got.status)
	}
	if after := retryAfter(t, got); after <= 0 || after > 2 {
		t.Errorf("Retry-After is %v s", after)
	}
}

// TestAnUnprovenPromiseIsNotPassedOn lets an endpoint answer 503 without stating that the request has not run.
func TestAnUnprovenPromiseIsNotPassedOn(t *testing.T) {
	w := newWorld(t)
	r := w.runner("r1", "e")
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		r.SetAnswer(func(rw http.ResponseWriter, run platformtest.Run) { r.Reply(rw, run, status, "no") })
		if got := w.call(pathOnce, nil); got.status != http.StatusBadGateway || got.header.Get(platformtest.HeaderSignature) != "" {
			t.Errorf("%d became %d, signed %q", status, got.status, got.header.Get(platformtest.HeaderSignature))
		}
	}
	r.SetAnswer(func(rw http.ResponseWriter, run platformtest.Run) {
		r.Reply(rw, run, http.StatusInternalServerError, "failed")
	})
	if got := w.call(pathOnce, nil); got.status != http.StatusInternalServerError || got.body != "failed" {
		t.Errorf("the endpoint's own failure became %d %q", got.status, got.body)
	}
}

func TestAnAnswerWithoutASignatureIsNoSuccess(t *testing.T) {
	w := newWorld(t)
	r := w.runner("r1", "e")
	r.SetAnswer(func(rw http.ResponseWriter, run platformtest.Run) {
		rw.Header().Set(platformtest.HeaderAttempt, run.ID)
		_, _ = rw.Write([]byte("unsigned"))
	})
	if got := w.call(pathOnce, nil); got.status != http.StatusBadGateway {
		t.Errorf("%d", got.status)
	}
}

func TestAnEndpointThatCannotBeReachedIsPassedOver(t *testing.T) {
	w := newWorld(t)
	row := strings.Replace(w.runner("r2", "e").Row("plain", "e", "ready", "", 0), `"address":"`, `"address":"`+closedPort(t)+`","was":"`, 1)
	w.store.Put("servers", "r1", row)
	w.wait("the closed endpoint", func() bool { return len(w.gateway.follower.View().Endpoints("plain")) == 2 })
	for range 4 {
		if got := w.call(pathOnce, nil); got.status != http.StatusOK {
			t.Errorf("%d", got.status)
		}
	}
}

func TestARouteTimeoutIsKept(t *testing.T) {
	w := newWorld(t)
	r := w.runner("r1", "e")
	release := make(chan struct{})
	defer close(release)
	r.SetAnswer(func(http.ResponseWriter, platformtest.Run) { <-release })
	got := w.call(pathShort, nil)
	if got.status != http.StatusGatewayTimeout {
		t.Errorf("%d, want 504: it may run", got.status)
	}
	if left, err := strconv.Atoi(r.Runs()[0].Deadline); err != nil || left > 300 {
		t.Errorf("the endpoint is told %s ms, on a route of 300", r.Runs()[0].Deadline)
	}
}

func TestRequestsStayInTheirRegions(t *testing.T) {
	w := newWorld(t)
	east := w.runner("r1", "e")
	if got := w.call(pathHome, nil); got.status != http.StatusServiceUnavailable {
		t.Errorf("%d without an endpoint in the region", got.status)
	}
	w.runner("r2", "w")
	for range 5 {
		if got := w.call(pathHome, nil); got.header.Get(platformtest.HeaderSignature) != "seal-of-r2" {
			t.Errorf("answered by %s", got.header.Get(platformtest.HeaderSignature))
		}
	}
	if len(east.Runs()) != 0 {
		t.Error("the request reached another region")
	}
}

func TestDrainingAndEvacuatedEndpointsGetNothing(t *testing.T) {
	w := newWorld(t)
	first, second := w.runner("r1", "e"), w.runner("r2", "w")
	w.store.Put("servers", "r1", first.Row("plain", "e", "draining", "", 0))
	w.wait("the drain", func() bool { return len(w.gateway.follower.View().Endpoints("plain")) == 1 })
	for range 5 {
		w.call(pathSafe, nil)
	}
	if len(first.Runs()) != 0 || len(second.Runs()) != 5 {
		t.Errorf("the draining endpoint got %d, the other %d", len(first.Runs()), len(second.Runs()))
	}
	w.store.Put("op", "evacuate/w", "{}")
	w.wait("the evacuation", func() bool { return len(w.gateway.follower.View().Endpoints("plain")) == 0 })
	if got := w.call(pathSafe, nil); got.status != http.StatusServiceUnavailable {
		t.Errorf("%d", got.status)
	}
	w.store.Remove("op", "evacuate/w")
	w.wait("the return", func() bool { return len(w.gateway.follower.View().Endpoints("plain")) == 1 })
	if got := w.call(pathSafe, nil); got.status != http.StatusOK {
		t.Errorf("%d after the return", got.status)
	}
}

func TestAKeyThatWasTakenAwayIsRefused(t *testing.T) {
	w := newWorld(t)
	w.runner("r1", "e")
	w.configure(routes(), "key-2")
	w.wait("the configuration", func() bool { return w.gateway.follower.View().Workspace("key-2") != nil })
	if got := w.call(pathSafe, nil); got.status != http.StatusUnauthorized {
		t.Errorf("%d", got.status)
	}
}

// TestKeysAreNotJudgedByAnOldView lets the store be away for longer than a key may live on.
func TestKeysAreNotJudgedByAnOldView(t *testing.T) {
	w := newWorld(t)
	r := w.runner("r1", "e")
	w.gateway.settings.RevocationMs = 500
	w.store.Fail(http.StatusServiceUnavailable)
	w.wait("the view to be old", func() bool { return !w.gateway.fresh() })
	if got := w.call(pathSafe, nil); got.status != http.StatusServiceUnavailable || len(r.Runs()) != 0 {
		t.Errorf("%d, %d ran", got.status, len(r.Runs()))
	}
	if got := w.call(pathPublic, nil); got.status != http.StatusOK {
		t.Errorf("a public route answers %d while the store is away", got.status)
	}
	w.store.Fail(0)
	w.wait("the view to be fresh", w.gateway.fresh)
	if got := w.call(pathSafe, nil); got.status != http.StatusOK {
		t.Errorf("%d after the store's return", got.status)
	}
}

func TestACallerThatLeavesEndsTheRun(t *testing.T) {
	w := newWorld(t)
	r := w.runner("r1", "e")
	arrived, ended := make(chan struct{}), make(chan struct{})
	r.SetAnswer(func(rw http.ResponseWriter, run platformtest.Run) {
		close(arrived)
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = conn.Read(make([]byte, 1)) // until the connection ends
		close(ended)
	})
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-arrived
		leave()
	}()
	if _, err := w.request(ctx, pathOnce, nil); err == nil {
		t.Error("a caller that left got an answer")
	}
	select {
	case <-ended:
	case <-time.After(patience):
		t.Error("the endpoint still works for a caller that has gone")
	}
}

func TestReadinessNeedsAConfigurationAndEndsWithTheDrain(t *testing.T) {
	w := newWorld(t)
	if !w.gateway.ready() {
		t.Error("not ready with a fresh configuration")
	}
	w.gateway.draining.Store(true)
	if w.gateway.ready() {
		t.Error("ready while draining")
	}
	w.runner("r1", "e")
	got := w.call(pathSafe, nil)
	if got.status != http.StatusOK || !got.closing {
		t.Errorf("%d, connection closed: %v while draining", got.status, got.closing)
	}
}

// TestASilentEndpointIsPassedOverByWhatMayBeRepeated lets one of two endpoints take requests and answer nothing.
func TestASilentEndpointIsPassedOverByWhatMayBeRepeated(t *testing.T) {
	w := newWorld(t)
	first, second := w.runner("r1", "e"), w.runner("r2", "e")
	quick := routes()
	for _, route := range quick {
		route["target-latency-ms"] = 100
	}
	w.configure(quick, "key-1")
	w.wait("the objective", func() bool {
		return w.gateway.follower.View().Route("h.example", pathSafe).Objective > 0
	})
	release := make(chan struct{})
	defer close(release)
	first.SetAnswer(func(http.ResponseWriter, platformtest.Run) { <-release })
	for range 6 {
		if got := w.call(pathSafe, nil); got.status != http.StatusOK || got.header.Get(platformtest.HeaderSignature) != "seal-of-r2" {
			t.Errorf("%d", got.status)
		}
	}
	if len(second.Runs()) != 6 {
		t.Errorf("%d answers came from the other endpoint", len(second.Runs()))
	}
}
