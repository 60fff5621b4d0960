package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/follow"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/platform"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// startProcess runs a gateway as its program does and returns its front address and the function that stops it.
func (fx *fixture) startProcess(grace time.Duration) (front string, stop func()) {
	fx.t.Helper()
	config, logger := fx.gateway.settings, fx.gateway.logger
	config.FrontAddress, config.ReadyAddress, config.ControlAddress = closedAddress(fx.t), closedAddress(fx.t), closedAddress(fx.t)
	config.GraceMs = settings.Millis(grace.Milliseconds())
	store := platform.NewStore(fx.store.Address(), map[core.FailureDomain]core.Region{"e": "east"}, logger)
	g := New(config, platform.Headers{}, follow.New(store, follow.Intervals{OperatorWait: 50 * time.Millisecond, EndpointsInterval: 10 * time.Millisecond}, follow.Delegates{}, logger), logger)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	fx.t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			fx.t.Error(err)
		}
	})
	fx.waitFor("the gateway", func() bool { return g.ready() && len(g.follower.View().AvailableEndpoints("plain")) > 0 })
	return config.FrontAddress, stop
}

// A kept connection's next request is read so late after SIGTERM that its answer may outlast the grace period.
func TestRequestReadLateInADrainIsNotCutOff(t *testing.T) {
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	r.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
		r.SendEvents(w, run, 2)
		silent(3100 * time.Millisecond)
		_, _ = io.WriteString(w, strings.TrimPrefix(eventsText(3), eventsText(2)))
	})
	front, stop := fx.startProcess(4500 * time.Millisecond)
	c, err := net.Dial("tcp", front)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const request = "GET " + pathStreamOnce + " HTTP/1.1\r\nHost: h.example\r\n" + platformtest.HeaderAttempt + ": attempt-1\r\n" + platformtest.HeaderKey + ": " + platformtest.KeyScheme + "key-1\r\n\r\n"
	answers := bufio.NewReader(c)
	_, _ = io.WriteString(c, request)
	for answered := range 2 {
		answer, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal("a request that had arrived got no answer: ", err)
		}
		if answered == 0 {
			stop()
			_, _ = io.WriteString(c, request) // arrives while the gateway drains, and is read when the first one has ended
		}
		body, err := io.ReadAll(answer.Body)
		if refused := answer.StatusCode == http.StatusServiceUnavailable; err != nil || !refused && string(body) != eventsText(3) {
			t.Errorf("status %d, error %v, body %q, want a whole answer or none", answer.StatusCode, err, body)
		}
	}
}
