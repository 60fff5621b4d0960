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

func TestAnswerIsForwardedUnchanged(t *testing.T) {
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	got := fx.mustCall(pathAtMostOnce+"?x=%2F", func(request *http.Request) {
		request.Header.Set(platformtest.HeaderWorkspace, "forged")
		request.Header.Set("Accept", "text/plain")
	})
	if got.status != http.StatusOK || got.body != "ok" || got.header.Get(platformtest.HeaderSignature) != "seal-of-r1" || got.header.Get(platformtest.HeaderAttempt) != "attempt-1" {
		t.Errorf("the caller received %+v", got)
	}
	run := r.Runs()[0]
	if run.Target != pathAtMostOnce+"?x=%2F" || run.Body != "body" || run.Method != http.MethodPost || run.ExpectedInstance != "r1" || run.Workspace != "space" {
		t.Errorf("the endpoint received %+v", run)
	}
	if run.Header.Get(platformtest.HeaderKey) != "" || run.Header.Get("Accept") != "text/plain" || run.Header.Get("User-Agent") != "Go-http-client/1.1" {
		t.Errorf("the endpoint received the header %v", run.Header)
	}
	if remaining, err := strconv.Atoi(run.DeadlineMs); err != nil || remaining <= 0 || remaining > 4000 {
		t.Errorf("the endpoint received a deadline of %s ms", run.DeadlineMs)
	}
}

func TestRequestOutsideTheConfigurationIsRefused(t *testing.T) {
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	for _, test := range []struct {
		name, path string
		change     func(*http.Request)
		want       int
	}{
		{"no route", "/none/1", nil, http.StatusNotFound},
		{"other host", pathAtMostOnce, func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
		{"unknown key", pathAtMostOnce, func(r *http.Request) { r.Header.Set(platformtest.HeaderKey, platformtest.KeyScheme+"other") }, http.StatusUnauthorized},
		{"no key", pathAtMostOnce, func(r *http.Request) { r.Header.Del(platformtest.HeaderKey) }, http.StatusUnauthorized},
		{"bad deadline", pathAtMostOnce, func(r *http.Request) { r.Header.Set(platformtest.HeaderDeadline, "soon") }, http.StatusBadRequest},
		{"long body", pathAtMostOnce, func(r *http.Request) {
			r.Body, r.ContentLength = http.NoBody, 0
			r.Body = readCloser{strings.NewReader(strings.Repeat("x", 2000))}
			r.ContentLength = 2000
		}, http.StatusRequestEntityTooLarge},
		{"long body in chunks", pathAtMostOnce, func(r *http.Request) {
			r.Body = readCloser{strings.NewReader(strings.Repeat("x", 2000))}
			r.ContentLength = -1
		}, http.StatusRequestEntityTooLarge},
	} {
		if got := fx.mustCall(test.path, test.change); got.status != test.want {
			t.Errorf("%s: status %d, want %d", test.name, got.status, test.want)
		}
	}
	if len(r.Runs()) != 0 {
		t.Errorf("%d refused requests reached the endpoint", len(r.Runs()))
	}
}

type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

func TestPublicRouteNeedsNoKey(t *testing.T) {
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	got := fx.mustCall(pathPublic, func(request *http.Request) { request.Header.Del(platformtest.HeaderKey) })
	if got.status != http.StatusOK || r.Runs()[0].Workspace != "" {
		t.Errorf("the caller received %+v", got)
	}
}

// The endpoint closes the connection after it has run the request, so that the outcome is unknown. A retry may run the
// request twice, which only an idempotent route allows.
func TestLostAnswerIsRetriedOnlyOnIdempotentRoute(t *testing.T) {
	fx := newFixture(t)
	first, second := fx.startBackend("r1", "e"), fx.startBackend("r2", "e")
	breakConnection := func(http.ResponseWriter, platformtest.Run) { platformtest.AbortConnection() }
	first.SetHandler(breakConnection)
	second.SetHandler(breakConnection)
	if got := fx.mustCall(pathAtMostOnce, nil); got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502, since the request may have run", got.status)
	}
	if n := len(first.Runs()) + len(second.Runs()); n != 1 {
		t.Errorf("a request that may run at most once ran %d times", n)
	}
	var broken atomic.Bool
	for _, r := range []*platformtest.Runner{first, second} {
		r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) {
			if !broken.Swap(true) {
				platformtest.AbortConnection()
			}
			r.Reply(rw, run, http.StatusOK, "again")
		})
	}
	if got := fx.mustCall(pathIdempotent, nil); got.status != http.StatusOK || got.body != "again" {
		t.Errorf("status %d, body %q, want the second endpoint's answer", got.status, got.body)
	}
}

func TestRejectedRequestIsRetriedAtAnotherEndpoint(t *testing.T) {
	fx := newFixture(t)
	first, second := fx.startBackend("r1", "e"), fx.startBackend("r2", "e")
	first.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) { first.Reject(rw, run) })
	for range 6 {
		if got := fx.mustCall(pathAtMostOnce, nil); got.status != http.StatusOK {
			t.Fatalf("status %d, want the second endpoint's answer", got.status)
		}
	}
	second.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) { second.Reject(rw, run) })
	got := fx.mustCall(pathAtMostOnce, nil)
	if got.status != http.StatusServiceUnavailable {
		t.Fatalf("status %d, want 503, since the request has not run", got.status)
	}
	if after := retryAfter(t, got); after <= 0 || after > 2 {
		t.Errorf("Retry-After is %v s", after)
	}
}

// To callers, 503, 429 and 408 state that the request has not run. The gateway must not forward them from an endpoint that
// does not state so in its header.
func TestNotRunStatusWithoutStatementBecomes502(t *testing.T) {
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) { r.Reply(rw, run, status, "no") })
		if got := fx.mustCall(pathAtMostOnce, nil); got.status != http.StatusBadGateway || got.header.Get(platformtest.HeaderSignature) != "" {
			t.Errorf("an endpoint's status %d became %d with signature %q", status, got.status, got.header.Get(platformtest.HeaderSignature))
		}
	}
	r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) {
		r.Reply(rw, run, http.StatusInternalServerError, "failed")
	})
	if got := fx.mustCall(pathAtMostOnce, nil); got.status != http.StatusInternalServerError || got.body != "failed" {
		t.Errorf("the endpoint's status 500 became %d with body %q", got.status, got.body)
	}
}

func TestUnsignedAnswerBecomes502(t *testing.T) {
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) {
		rw.Header().Set(platformtest.HeaderAttempt, run.ID)
		_, _ = rw.Write([]byte("unsigned"))
	})
	if got := fx.mustCall(pathAtMostOnce, nil); got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", got.status)
	}
}

func TestUnreachableEndpointIsSkipped(t *testing.T) {
	fx := newFixture(t)
	row := strings.Replace(fx.startBackend("r2", "e").RegistryRow("plain", "e", "ready", "", 0), `"address":"`, `"address":"`+closedAddress(t)+`","was":"`, 1)
	fx.store.Put("servers", "r1", row)
	fx.waitFor("the closed endpoint", func() bool { return len(fx.gateway.follower.View().AvailableEndpoints("plain")) == 2 })
	for range 4 {
		if got := fx.mustCall(pathAtMostOnce, nil); got.status != http.StatusOK {
			t.Errorf("status %d, want 200", got.status)
		}
	}
}

func TestRouteTimeoutIsEnforced(t *testing.T) {
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	release := make(chan struct{})
	defer close(release)
	r.SetHandler(func(http.ResponseWriter, platformtest.Run) { <-release })
	got := fx.mustCall(pathShortTimeout, nil)
	if got.status != http.StatusGatewayTimeout {
		t.Errorf("status %d, want 504, since the request may have run", got.status)
	}
	if remaining, err := strconv.Atoi(r.Runs()[0].DeadlineMs); err != nil || remaining > 300 {
		t.Errorf("the endpoint received a deadline of %s ms, the route's timeout is 300 ms", r.Runs()[0].DeadlineMs)
	}
}

func TestRequestStaysInAllowedRegions(t *testing.T) {
	fx := newFixture(t)
	east := fx.startBackend("r1", "e")
	if got := fx.mustCall(pathWestOnly, nil); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d without an endpoint in the region, want 503", got.status)
	}
	fx.startBackend("r2", "w")
	for range 5 {
		if got := fx.mustCall(pathWestOnly, nil); got.header.Get(platformtest.HeaderSignature) != "seal-of-r2" {
			t.Errorf("the answer has the signature %s, want seal-of-r2", got.header.Get(platformtest.HeaderSignature))
		}
	}
	if len(east.Runs()) != 0 {
		t.Error("the request reached another region")
	}
}

func TestDrainingAndEvacuatedEndpointsGetNoRequests(t *testing.T) {
	fx := newFixture(t)
	first, second := fx.startBackend("r1", "e"), fx.startBackend("r2", "w")
	fx.store.Put("servers", "r1", first.RegistryRow("plain", "e", "draining", "", 0))
	fx.waitFor("the draining endpoint to become unavailable", func() bool { return len(fx.gateway.follower.View().AvailableEndpoints("plain")) == 1 })
	for range 5 {
		fx.mustCall(pathIdempotent, nil)
	}
	if len(first.Runs()) != 0 || len(second.Runs()) != 5 {
		t.Errorf("the draining endpoint received %d requests, the other %d; want 0 and 5", len(first.Runs()), len(second.Runs()))
	}
	fx.store.Put("op", "evacuate/w", "{}")
	fx.waitFor("the evacuation to take effect", func() bool { return len(fx.gateway.follower.View().AvailableEndpoints("plain")) == 0 })
	if got := fx.mustCall(pathIdempotent, nil); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d while the failure domain is evacuated, want 503", got.status)
	}
	fx.store.Remove("op", "evacuate/w")
	fx.waitFor("the evacuation to end", func() bool { return len(fx.gateway.follower.View().AvailableEndpoints("plain")) == 1 })
	if got := fx.mustCall(pathIdempotent, nil); got.status != http.StatusOK {
		t.Errorf("status %d after the evacuation, want 200", got.status)
	}
}

func TestRevokedKeyIsRefused(t *testing.T) {
	fx := newFixture(t)
	fx.startBackend("r1", "e")
	fx.publishConfiguration(routes(), "key-2")
	fx.waitFor("the configuration", func() bool { return fx.gateway.follower.View().Workspace("key-2") != nil })
	if got := fx.mustCall(pathIdempotent, nil); got.status != http.StatusUnauthorized {
		t.Errorf("status %d, want 401", got.status)
	}
}

// While the store is unavailable for longer than the revocation bound, the gateway cannot know whether a key was revoked.
func TestKeysAreNotVerifiedWithAStaleView(t *testing.T) {
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	fx.gateway.settings.RevocationMs = 500
	fx.store.SetFailStatus(http.StatusServiceUnavailable)
	fx.waitFor("the view to become stale", func() bool { return !fx.gateway.canVerifyKeys() })
	if got := fx.mustCall(pathIdempotent, nil); got.status != http.StatusServiceUnavailable || len(r.Runs()) != 0 {
		t.Errorf("status %d with a stale view, want 503; %d requests reached the endpoint, want 0", got.status, len(r.Runs()))
	}
	if got := fx.mustCall(pathPublic, nil); got.status != http.StatusOK {
		t.Errorf("a public route answers %d while the store is unavailable, want 200", got.status)
	}
	fx.store.SetFailStatus(0)
	fx.waitFor("a recent view", fx.gateway.canVerifyKeys)
	if got := fx.mustCall(pathIdempotent, nil); got.status != http.StatusOK {
		t.Errorf("status %d after the store is available again, want 200", got.status)
	}
}

func TestDisconnectedCallerCancelsTheRequest(t *testing.T) {
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	arrived, ended := make(chan struct{}), make(chan struct{})
	r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) {
		close(arrived)
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = conn.Read(make([]byte, 1)) // until the connection closes
		close(ended)
	})
	ctx, disconnect := context.WithCancel(context.Background())
	go func() {
		<-arrived
		disconnect()
	}()
	if _, err := fx.tryCall(ctx, pathAtMostOnce, nil); err == nil {
		t.Error("a caller that disconnected got an answer")
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("the endpoint's connection is still open after the caller disconnected")
	}
}

func TestReadinessNeedsAConfigurationAndEndsWhenDraining(t *testing.T) {
	fx := newFixture(t)
	if !fx.gateway.ready() {
		t.Error("not ready with a recent configuration")
	}
	fx.gateway.draining.Store(true)
	if fx.gateway.ready() {
		t.Error("ready while draining")
	}
	fx.startBackend("r1", "e")
	got := fx.mustCall(pathIdempotent, nil)
	if got.status != http.StatusOK || !got.connectionClosed {
		t.Errorf("status %d, connection closed %v while draining; want 200 and true", got.status, got.connectionClosed)
	}
}

// One of two endpoints accepts requests and never answers.
func TestIdempotentRequestIsRetriedWhenEndpointStalls(t *testing.T) {
	fx := newFixture(t)
	first, second := fx.startBackend("r1", "e"), fx.startBackend("r2", "e")
	withObjective := routes()
	for _, route := range withObjective {
		route["target-latency-ms"] = 100
	}
	fx.publishConfiguration(withObjective, "key-1")
	fx.waitFor("the objective", func() bool {
		return fx.gateway.follower.View().Route("h.example", pathIdempotent).Objective > 0
	})
	release := make(chan struct{})
	defer close(release)
	first.SetHandler(func(http.ResponseWriter, platformtest.Run) { <-release })
	for range 6 {
		if got := fx.mustCall(pathIdempotent, nil); got.status != http.StatusOK || got.header.Get(platformtest.HeaderSignature) != "seal-of-r2" {
			t.Errorf("status %d, want 200 from the second endpoint", got.status)
		}
	}
	if len(second.Runs()) != 6 {
		t.Errorf("the second endpoint answered %d requests, want 6", len(second.Runs()))
	}
}
