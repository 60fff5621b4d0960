package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/follow"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/platform"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const testTimeout = 20 * time.Second // bound on waiting for a condition

// fixture is a gateway with a fake store and fake back ends.
type fixture struct {
	t             *testing.T
	store         *platformtest.Store
	gateway       *Gateway
	frontServer   *httptest.Server
	configVersion int
}

// Request paths, one on each route of the fixture's configuration.
const (
	pathAtMostOnce   = "/once/1"
	pathIdempotent   = "/safe/1"
	pathStream       = "/stream/1"
	pathLongStream   = "/long-stream/1"
	pathStreamOnce   = "/stream-once/1" // not resumable
	pathPublic       = "/public/1"
	pathShortTimeout = "/short/1"
	pathWestOnly     = "/home/1"
	pathModel        = "/model/1" // for a model engine; no sidecar can be reached
)

type document = map[string]any

func routes() []document {
	route := func(name, kind string, more document) document {
		r := document{"name": name, "host": "h.example", "prefix": "/" + name + "/", "route-kind": kind, "timeout-ms": 5000, "service": "plain", "max-attempts": 2}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	return []document{
		route("once", "unsafe", nil),
		route("safe", "safe", nil),
		route("stream", "stream", document{"resumable": true}),
		route("long-stream", "stream", document{"resumable": true, "timeout-ms": 60_000}),
		route("stream-once", "stream", nil),
		route("public", "safe", document{"public": true}),
		route("short", "unsafe", document{"timeout-ms": 300}),
		route("model", "safe", document{"sticky": true}),
		route("home", "safe", document{"allowed-regions": []string{"west"}}),
	}
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fx := &fixture{t: t, store: platformtest.NewStore()}
	t.Cleanup(fx.store.Close)
	fx.publishConfiguration(routes(), "key-1")
	logger := &log.Logger{Level: log.PanicLevel}
	regions := map[core.FailureDomain]core.Region{"e": "east", "w": "west"}
	follower := follow.New(platform.NewStore(fx.store.Address(), regions, logger), follow.Intervals{OperatorWait: 50 * time.Millisecond, EndpointsInterval: 10 * time.Millisecond}, follow.Delegates{}, logger)
	config := settings.Gateway{RevocationMs: 5000, VersionRolloutMs: 8000, GraceMs: 8000, RetryRatio: 10}
	config.Region = "east"
	config.Ports = []int{1, 3} // no sidecar listens on these ports
	fx.gateway = New(config, platform.Headers{}, follower, logger)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		follower.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	fx.frontServer = httptest.NewUnstartedServer(nil)
	fx.frontServer.Config = fx.gateway.frontServer()
	fx.frontServer.Start()
	t.Cleanup(fx.frontServer.Close)
	fx.waitFor("the configuration", func() bool { return follower.View().Index != nil })
	return fx
}

// publishConfiguration publishes a configuration with the routes and with one workspace that has the keys.
func (fx *fixture) publishConfiguration(routes []document, keys ...string) {
	fx.configVersion++
	raw, err := json.Marshal(document{
		"version":  fx.configVersion,
		"routes":   routes,
		"services": []document{{"name": "plain"}},
		"limits":   document{"max-body-bytes": 1000},
		"tenants":  []document{{"name": "space", "api-keys": keys}},
	})
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.store.Put("op", "config", string(raw))
}

func (fx *fixture) waitFor(what string, condition func() bool) {
	fx.t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			fx.t.Fatal("timed out waiting for " + what)
		}
	}
}

// startBackend starts a back end in the failure domain and waits until the gateway's view lists it.
func (fx *fixture) startBackend(id, domain string) *platformtest.Runner {
	fx.t.Helper()
	r := platformtest.NewRunner(id)
	fx.t.Cleanup(r.Close)
	before := len(fx.gateway.follower.View().AvailableEndpoints("plain"))
	fx.store.Put("servers", id, r.RegistryRow("plain", domain, "ready", "", 0))
	fx.waitFor("the endpoint "+id, func() bool { return len(fx.gateway.follower.View().AvailableEndpoints("plain")) > before })
	return r
}

// callResult is the answer that a caller got.
type callResult struct {
	status           int
	body             string
	header           http.Header
	err              error // from reading the body
	connectionClosed bool  // the server closes the connection after the answer
}

func (fx *fixture) tryCall(ctx context.Context, path string, change func(*http.Request)) (callResult, error) {
	fx.t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fx.frontServer.URL+path, strings.NewReader("body"))
	if err != nil {
		fx.t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set(platformtest.HeaderAttempt, "attempt-1")
	request.Header.Set(platformtest.HeaderDeadline, "4000")
	request.Header.Set(platformtest.HeaderKey, platformtest.KeyScheme+"key-1")
	if change != nil {
		change(request)
	}
	answer, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return callResult{}, err
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	return callResult{answer.StatusCode, string(raw), answer.Header, err, answer.Close}, nil
}

func (fx *fixture) mustCall(path string, change func(*http.Request)) callResult {
	fx.t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	got, err := fx.tryCall(ctx, path, change)
	if err != nil {
		fx.t.Fatal(err)
	}
	return got
}

// callThrough sends a call through the gateway, without the fixture's front server.
func (fx *fixture) callThrough(g *Gateway, path string) int {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
	request.Host = "h.example"
	request.Header.Set(platformtest.HeaderAttempt, "attempt-1")
	request.Header.Set(platformtest.HeaderDeadline, "4000")
	request.Header.Set(platformtest.HeaderKey, platformtest.KeyScheme+"key-1")
	answer := httptest.NewRecorder()
	g.serveCall(answer, request)
	return answer.Code
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// eventsText returns a stream's text with the events 1 to n.
func eventsText(n int) string {
	text := ""
	for id := 1; id <= n; id++ {
		text += platformtest.FormatEvent(id)
	}
	return text
}

func retryAfter(t *testing.T, got callResult) float64 {
	t.Helper()
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if err != nil {
		t.Errorf("Retry-After: %v", err)
	}
	return seconds
}
