package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/follow"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/sidecar"
	"github.com/lovageglade/lovageglade/platform"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// Request paths of routes whose engines have sidecars.
const (
	pathEngineOnce       = "/engine-once/1"
	pathEngineSafe       = "/engine-safe/1"
	pathEngineStream     = "/engine-stream/1"
	pathEngineStreamOnce = "/engine-stream-once/1"
)

// rawEngine is a stand-in for a model engine that writes its answers byte by byte.
type rawEngine struct {
	id       string
	listener net.Listener
	bornMs   int64

	mu    sync.Mutex
	conns []net.Conn
	serve func(conn net.Conn, request *http.Request) (keep bool)
	early bool // it answers before it reads the body
}

// answerEarly makes the engine answer before it reads the body of a request.
func (e *rawEngine) answerEarly() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.early = true
}

func (e *rawEngine) setServe(serve func(conn net.Conn, request *http.Request) (keep bool)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serve = serve
}

func (e *rawEngine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, conn)
		e.mu.Unlock()
		go e.serveConn(conn)
	}
}

// close ends the engine and its connections.
func (e *rawEngine) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.conns {
		_ = conn.Close()
	}
}

func (e *rawEngine) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e.mu.Lock()
		early := e.early
		e.mu.Unlock()
		if !early {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		if request.URL.Path == "/report" {
			raw, _ := json.Marshal(document{"stage": "mixed", "busy": false, "seq": 0, "born": e.bornMs, "active": 0, "queued": 0, "pace": 1, "models": []document{{"name": "m", "version": 1, "adapters": []string{}}}})
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(raw), raw)
			continue
		}
		e.mu.Lock()
		serve := e.serve
		e.mu.Unlock()
		if !serve(conn, request) {
			return
		}
	}
}

// rawHead returns the head of an answer to the call, with the engine's signature.
func rawHead(request *http.Request, status int, lines ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d x\r\n%s: %s\r\nX-Server-Seal: s\r\n", status, platformtest.HeaderAttempt, request.Header.Get(platformtest.HeaderAttempt))
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

const (
	lineChunked = "Transfer-Encoding: chunked"
	lineEvents  = "Content-Type: text/event-stream"
)

// chunk returns the text as a chunk of a body.
func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

const lastChunk = "0\r\n\r\n"

// newSidecarFixture returns a fixture whose routes for engines are served through sidecars, and the engines, which have started.
func newSidecarFixture(t *testing.T, engineCount int) (*fixture, []*rawEngine) {
	t.Helper()
	fx := newFixture(t)
	fx.putEngineConfiguration(9, 1000)
	relayPort := freePorts(t)
	fx.gateway.settings.Ports = []int{relayPort, relayPort + 2}
	var engines []*rawEngine
	for i := range engineCount {
		engines = append(engines, fx.startRawEngine(fmt.Sprintf("e%d", i), fmt.Sprintf("127.0.0.%d", i+2), relayPort))
	}
	fx.waitFor("the engines", func() bool {
		return len(fx.gateway.follower.View().AvailableEndpoints("models")) == engineCount && fx.gateway.follower.View().Configuration.Version == 9
	})
	return fx, engines
}

// putEngineConfiguration publishes a configuration with the routes of plain endpoints and of engines.
func (fx *fixture) putEngineConfiguration(version, maxBodyBytes int) {
	fx.t.Helper()
	route := func(name, kind string, more document) document {
		r := document{"name": name, "host": "h.example", "prefix": "/" + name + "/", "route-kind": kind, "timeout-ms": 5000, "service": "models", "max-attempts": 3, "sticky": true}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	withEngines := append(routes(), route("engine-once", "unsafe", nil), route("engine-safe", "safe", nil), route("engine-stream", "stream", document{"resumable": true}), route("engine-stream-once", "stream", nil))
	raw, err := json.Marshal(document{"version": version, "routes": withEngines, "services": []document{{"name": "plain"}, {"name": "models", "engine": document{"slots": 16, "models": []document{{"name": "m"}}}}}, "limits": document{"max-body-bytes": maxBodyBytes}, "tenants": []document{{"name": "space", "api-keys": []string{"key-1"}}}})
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.store.Put("op", "config", string(raw))
}

// freePorts returns the first of three ports that are free on the addresses of engines.
func freePorts(t *testing.T) int {
	t.Helper()
	for port := 21_000 + int(time.Now().UnixNano()/1000%9_000); ; port += 7 {
		free := true
		for offset := range 3 {
			listener, err := net.Listen("tcp", "127.0.0.2:"+strconv.Itoa(port+offset))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return port
		}
	}
}

// startRawEngine starts an engine and its sidecar on a host of their own, and waits until the sidecar serves.
func (fx *fixture) startRawEngine(id, host string, relayPort int) *rawEngine {
	fx.t.Helper()
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		fx.t.Fatal(err)
	}
	e := &rawEngine{id: id, listener: listener, bornMs: time.Now().UnixMilli() - 1000}
	e.setServe(func(conn net.Conn, request *http.Request) bool {
		_, _ = io.WriteString(conn, rawHead(request, http.StatusOK, "Content-Length: 2")+"ok")
		return true
	})
	go e.accept()
	fx.t.Cleanup(e.close)
	logger := &log.Logger{Level: log.PanicLevel}
	config := settings.Sidecar{EngineAddress: listener.Addr().String(), Service: "models", GraceMs: 1000, VersionRolloutMs: 8000}
	config.Host, config.Address, config.Region, config.FailureDomain = core.HostID(host), host, "east", "e"
	config.Ports = []int{relayPort, relayPort + 2}
	follower := follow.New(platform.NewStore(fx.store.Address(), map[core.FailureDomain]core.Region{"e": "east"}, logger), follow.Intervals{OperatorWait: 50 * time.Millisecond, EndpointsInterval: 10 * time.Millisecond}, follow.Delegates{}, logger)
	process := sidecar.New(config, platform.Headers{}, follower, platform.NewEngine(config.EngineAddress), platform.NewOrigin(), logger)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := process.Run(ctx); err != nil {
			fx.t.Error(err)
		}
	})
	fx.t.Cleanup(func() {
		stop()
		running.Wait()
	})
	row := platformtest.EndpointRow{Service: "models", Address: e.listener.Addr().String(), Zone: "e", State: "ready", Slots: 16, StartedAt: time.UnixMilli(e.bornMs), Model: "m", Version: 1}
	fx.store.Put("servers", id, row.String())
	fx.waitFor("the sidecar of "+id, func() bool { return sidecarServes(host + ":" + strconv.Itoa(relayPort)) })
	return e
}

// registerPlain registers the engine as an endpoint without a sidecar, too.
func (fx *fixture) registerPlain(e *rawEngine) {
	fx.t.Helper()
	row := platformtest.EndpointRow{Service: "plain", Address: e.listener.Addr().String(), Zone: "e", State: "ready", Slots: 16, StartedAt: time.UnixMilli(e.bornMs)}
	fx.store.Put("servers", "direct", row.String())
	fx.waitFor("the plain endpoint", func() bool { return len(fx.gateway.follower.View().AvailableEndpoints("plain")) == 1 })
}

// sidecarServes reports whether a request through the sidecar reaches its engine.
func sidecarServes(address string) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/warm-up", http.NoBody)
	if err != nil {
		return false
	}
	request.Header.Set(platformtest.HeaderAttempt, "warm-up")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode == http.StatusOK
}

// callEngine sends a call for the model with the id.
func (fx *fixture) callEngine(path, id string) (callResult, error) {
	return fx.tryCall(fx.t.Context(), path, func(request *http.Request) {
		request.Header.Set(platformtest.HeaderAttempt, id)
		request.Header.Set(platformtest.HeaderModel, "m")
		request.Header.Set(platformtest.HeaderTokens, "10,10")
	})
}
