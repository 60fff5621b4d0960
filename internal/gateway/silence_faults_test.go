package gateway

import (
	"bytes"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/platform"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// panickingCodec panics when an answer has arrived.
type panickingCodec struct{ platform.Headers }

func (panickingCodec) DecodeResponse(int, http.Header) call.ResponseInfo { panic("broken codec") }

func TestCallThatMayRunOnceIsNotRepeatedAfterAPanic(t *testing.T) {
	fx := newFixture(t)
	var runs atomic.Int32
	for _, id := range []string{"r1", "r2"} {
		r := fx.startBackend(id, "e")
		r.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
			runs.Add(1)
			r.Reply(w, run, http.StatusOK, "whole")
		})
	}
	fx.gateway.codec = panickingCodec{}
	got, err := fx.tryCall(t.Context(), pathAtMostOnce, nil)
	if runs.Load() > 1 || got.status == http.StatusServiceUnavailable {
		t.Errorf("%d runs, status %d, error %v, want at most one run and no refusal", runs.Load(), got.status, err)
	}
}

// The delegates of the stated rate are silent, and hold the first send back for longer than the stall timeout.
func TestCallThatIsHeldBackRunsNoMoreOftenThanItMay(t *testing.T) {
	const silentDelegates = 3
	fx := newFixture(t)
	delegates := []string{"zzz"} // this gateway, the last in their order
	for range silentDelegates {
		delegates = append(delegates, silentListener(t))
	}
	var limited atomic.Bool
	var runs atomic.Int32
	for i, started := 0, 0; started < 2; i++ {
		hash := fnv.New32a()
		_, _ = io.WriteString(hash, "r"+strconv.Itoa(i))
		if hash.Sum32()%uint32(len(delegates)) != 0 {
			continue // it would ask this gateway too early
		}
		started++
		r := fx.startBackend("r"+strconv.Itoa(i), "e")
		r.SetRate(1000)
		r.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
			if limited.Load() {
				runs.Add(1)
				silent(700 * time.Millisecond)
			}
			r.Reply(w, run, http.StatusOK, "whole")
		})
	}
	for range 6 { // until both have stated their rates
		fx.mustCall(pathIdempotent, nil)
	}
	changed := routes()
	for _, route := range changed {
		route["target-latency-ms"], route["max-attempts"] = 300, 1
	}
	fx.publishConfiguration(changed, "key-1")
	fx.waitFor("the configuration", func() bool { return fx.gateway.follower.View().Configuration.Version == int64(fx.configVersion) })
	fx.gateway.rates.group = newDelegateGroup("zzz", delegates)
	limited.Store(true)
	if got := fx.mustCall(pathIdempotent, nil); got.status != http.StatusOK || runs.Load() != 1 {
		t.Errorf("status %d, %d runs, want one", got.status, runs.Load())
	}
}

// silentListener returns an address at which connections are accepted and nothing is answered.
func silentListener(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func TestSilenceCountsOnceWhileCommentsArrive(t *testing.T) {
	const interval = 50 * time.Millisecond
	fx := newFixture(t)
	var lines bytes.Buffer
	fx.gateway.logger = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &lines}}
	fx.startInOrder(func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
		r.SendEvents(w, run, 2)
		for range (streamStallTimeout + 500*time.Millisecond) / interval {
			silent(interval)
			_, _ = io.WriteString(w, ": still there\n\n")
			w.(http.Flusher).Flush()
		}
		_, _ = io.WriteString(w, strings.TrimPrefix(eventsText(3), eventsText(2)))
	})
	got := fx.mustCall(pathStream, nil)
	if !strings.HasSuffix(got.body, platformtest.FormatEvent(3)) {
		t.Errorf("error %v, body %q", got.err, got.body)
	}
	if silences := strings.Count(lines.String(), "endpoint is silent"); silences > 1 {
		t.Errorf("one silence was counted %d times", silences)
	}
	if strings.Contains(lines.String(), "fails a share of its requests") {
		t.Error("one silence makes the endpoint one that fails a share of its requests")
	}
}

// answersInTime sends a call that has 20 s to a first endpoint that is silent for good and a second one, and returns the status if the
// answer comes long before that.
func (fx *fixture) answersInTime(second serveFunc, meanwhile func()) int {
	fx.t.Helper()
	const enough = 8 * time.Second
	changed := routes()
	for _, route := range changed {
		route["target-latency-ms"], route["timeout-ms"], route["max-attempts"] = 300, 20_000, 3
	}
	fx.publishConfiguration(changed, "key-1")
	fx.waitFor("the configuration", func() bool { return fx.gateway.follower.View().Configuration.Version == int64(fx.configVersion) })
	fx.startInOrder(untilClosed(0, make(signal), make(signal)), func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
		second(r, w, run)
		meanwhile()
	})
	began := time.Now()
	got := fx.mustCall(pathIdempotent, func(r *http.Request) { r.Header.Set(platformtest.HeaderDeadline, "20000") })
	if took := time.Since(began); took > enough {
		fx.t.Errorf("the answer came after %v", took)
	}
	return got.status
}

func TestEndpointThatAppearsIsAskedWhileAnotherIsSilent(t *testing.T) {
	fx := newFixture(t)
	if status := fx.answersInTime((*platformtest.Runner).Reject, func() { go fx.startBackend("r3", "e") }); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

func TestServerErrorIsNotHeldBackForASilentEndpoint(t *testing.T) {
	fx := newFixture(t)
	if status := fx.answersInTime(func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
		r.Reply(w, run, http.StatusInternalServerError, "failed")
	}, func() {}); status != http.StatusInternalServerError {
		t.Errorf("status %d", status)
	}
}
