package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/follow"
	"github.com/lovageglade/lovageglade/internal/graceful"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/platform"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// Requests had reached the gateway, on kept and on fresh connections, when it stopped.
func TestRequestsThatReachedAStoppingGatewayAreAnswered(t *testing.T) {
	fx := newFixture(t)
	fx.startBackend("r1", "e")
	listener, err := listen("127.0.0.1:0", "front")
	if err != nil {
		t.Fatal(err)
	}
	server := graceful.NewServer(fx.gateway.frontServer(), listener)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve() }()
	const request = "GET " + pathIdempotent + " HTTP/1.1\r\nHost: h.example\r\n" + platformtest.HeaderAttempt + ": attempt-1\r\n" + platformtest.HeaderKey + ": " + platformtest.KeyScheme + "key-1\r\n\r\n"
	var conns []net.Conn
	for i := range 100 {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		if i < 50 {
			_, _ = io.WriteString(c, request)
			mustAnswer(t, c)
		}
		conns = append(conns, c)
	}
	for _, c := range conns {
		_, _ = io.WriteString(c, request)
	}
	fx.gateway.draining.Store(true)
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- server.Shutdown(ctx) }()
	for _, c := range conns {
		mustAnswer(t, c)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func mustAnswer(t *testing.T, c net.Conn) {
	t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal("a request that had arrived got no answer: ", err)
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v", answer.StatusCode, err)
	}
}

func TestErrorsOfTheServersAreLogLines(t *testing.T) {
	fx := newFixture(t)
	var lines bytes.Buffer
	fx.gateway.logger = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &lines}}
	servers := []*http.Server{fx.gateway.frontServer(), fx.gateway.readyServer()}
	for _, server := range servers {
		server.ErrorLog.Print("broken")
	}
	logged := loggedLines(t, &lines, "HTTP server error")
	requireFields(t, logged, "error")
	if len(logged) != len(servers) {
		t.Errorf("%d lines of %d servers", len(logged), len(servers))
	}
}

// Callers may connect before they have a request, and send it when the end of the grace period is near.
func TestLateRequestToAStoppingGatewayIsRefusedRatherThanCut(t *testing.T) {
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	r.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
		if run.Target != pathStreamOnce {
			r.Reply(w, run, http.StatusOK, "done")
			return
		}
		r.SendEvents(w, run, 1)
		<-t.Context().Done()
	})
	listener, err := listen("127.0.0.1:0", "front")
	if err != nil {
		t.Fatal(err)
	}
	server := graceful.NewServer(fx.gateway.frontServer(), listener)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve() }()
	drained := make(chan struct{})
	go func() {
		fx.gateway.drain(server)
		close(drained)
	}()
	<-time.After(balancerNoticeTime - 200*time.Millisecond)
	answers := make(map[string]string)
	conns := make(map[string]net.Conn)
	for _, path := range []string{pathStreamOnce, pathShortTimeout} {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		conns[path] = c
	}
	<-time.After(time.Second)
	for path, c := range conns {
		_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h.example\r\n"+platformtest.HeaderAttempt+": attempt-1\r\n"+platformtest.HeaderKey+": "+platformtest.KeyScheme+"key-1\r\n\r\n")
		if answer, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			_, err := io.Copy(io.Discard, answer.Body)
			answers[path] = fmt.Sprint(answer.StatusCode, " ", err)
			_ = answer.Body.Close()
		}
	}
	if answers[pathStreamOnce] != "503 <nil>" || answers[pathShortTimeout] != "200 <nil>" {
		t.Errorf("%q, want a refusal of the request that may last longer than the process", answers)
	}
	<-drained
}

// silentStore does not answer, and its calls do not end with their contexts.
type silentStore struct{ answer chan struct{} }

func (s silentStore) Operator(context.Context, follow.Cursor, time.Duration) (follow.OperatorChanges, error) {
	<-s.answer
	return follow.OperatorChanges{}, nil
}

func (s silentStore) Endpoints(context.Context, follow.Cursor) (follow.EndpointChanges, error) {
	<-s.answer
	return follow.EndpointChanges{}, nil
}

func TestGatewayExitsWithinItsGracePeriodWhileTheStoreIsSilent(t *testing.T) {
	const (
		grace   = 3500 * time.Millisecond
		logTime = 200 * time.Millisecond // for the last log lines
	)
	store := silentStore{answer: make(chan struct{})}
	t.Cleanup(func() { close(store.answer) })
	logger := &log.Logger{Level: log.PanicLevel}
	config := settings.Gateway{GraceMs: settings.Millis(grace.Milliseconds()), FrontAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", ControlAddress: "127.0.0.1:0"}
	config.Ports = []int{1, 3}
	g := New(config, platform.Headers{}, follow.New(store, follow.Intervals{OperatorWait: time.Second, EndpointsInterval: time.Second}, follow.Delegates{}, logger), logger)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	<-time.After(100 * time.Millisecond) // until the store has been asked
	stop()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(grace - logTime):
		t.Error("the process runs until it is killed")
	}
}
