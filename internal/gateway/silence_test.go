package gateway

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

type serveFunc func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run)

// startInOrder starts an endpoint for each function. The functions serve the requests in the order of their arrival.
func (fx *fixture) startInOrder(serve ...serveFunc) []*platformtest.Runner {
	var arrived atomic.Int32
	var runners []*platformtest.Runner
	for i := range serve {
		r := fx.startBackend("r"+strconv.Itoa(i+1), "e")
		r.SetHandler(func(w http.ResponseWriter, run platformtest.Run) { serve[arrived.Add(1)-1](r, w, run) })
		runners = append(runners, r)
	}
	return runners
}

// setObjective sets the objective of all routes, in milliseconds.
func (fx *fixture) setObjective(ms int) {
	changed := routes()
	for _, route := range changed {
		route["target-latency-ms"] = ms
	}
	fx.publishConfiguration(changed, "key-1")
	fx.waitFor("the objectives", func() bool { return fx.gateway.follower.View().Configuration.Version == int64(fx.configVersion) })
}

// waitForRelease waits until no endpoint counts a call and no goroutine works for one.
func (fx *fixture) waitForRelease(runners []*platformtest.Runner) {
	fx.t.Helper()
	fx.waitFor("the attempts to end", func() bool {
		for _, r := range runners {
			if fx.gateway.placer.Meter(catalog.EndpointID(r.ID)).Load(fx.gateway.now(), 4) != 0 {
				return false
			}
		}
		stacks := make([]byte, 1<<20)
		return !strings.Contains(string(stacks[:runtime.Stack(stacks, true)]), "gateway.(*attempt)")
	})
}

// signal is closed once, when something has happened.
type signal chan struct{}

func (s signal) await(t *testing.T, what string) {
	t.Helper()
	select {
	case <-s:
	case <-time.After(testTimeout):
		t.Error("timed out waiting for " + what)
	}
}

// untilClosed sends the events up to the last and then nothing until the gateway closes the connection.
func untilClosed(last int, begun, closed signal) serveFunc {
	return func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
		if last > 0 {
			r.SendEvents(w, run, last)
		}
		close(begun)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
		close(closed)
	}
}

func TestBothEndpointsSilentForGoodAreEndedAtTheDeadline(t *testing.T) {
	for _, path := range []string{pathStream, pathIdempotent} {
		fx := newFixture(t)
		fx.setObjective(300)
		closed := []signal{make(signal), make(signal)}
		runners := fx.startInOrder(untilClosed(0, make(signal), closed[0]), untilClosed(0, make(signal), closed[1]))
		got := fx.mustCall(path, func(r *http.Request) { r.Header.Set(platformtest.HeaderDeadline, "2000") })
		if got.status != http.StatusGatewayTimeout {
			t.Errorf("%s: status %d, body %q", path, got.status, got.body)
		}
		closed[0].await(t, "the first to be ended")
		closed[1].await(t, "the second to be ended")
		fx.waitForRelease(runners)
	}
}

func TestDeadEndpointIsTakenOverWhileItIsStillOpen(t *testing.T) {
	fx := newFixture(t)
	closed, openAtSecond := make(signal), false
	runners := fx.startInOrder(untilClosed(2, make(signal), closed), func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
		select {
		case <-closed:
		default:
			openAtSecond = true
		}
		r.SendEvents(w, run, 4)
	})
	got := fx.mustCall(pathStream, nil)
	closed.await(t, "the first to be ended")
	if got.err != nil || got.body != eventsText(4) || !openAtSecond {
		t.Errorf("error %v, body %q, the first was open when the second was asked: %t", got.err, got.body, openAtSecond)
	}
	fx.waitForRelease(runners)
}

func TestStreamThatGoesOnBesideASecondIsSentOnce(t *testing.T) {
	for _, bothSend := range []bool{false, true} {
		fx := newFixture(t)
		begun, closed := make(signal), make(signal)
		first := func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
			r.SendEvents(w, run, 2)
			begun.await(t, "the second")
			_, _ = io.WriteString(w, strings.TrimPrefix(eventsText(5), eventsText(2)))
		}
		second := untilClosed(0, begun, closed)
		if bothSend {
			second = untilClosed(5, begun, closed)
		}
		runners := fx.startInOrder(first, second)
		got := fx.mustCall(pathStream, func(r *http.Request) { r.Header.Set(platformtest.HeaderDeadline, "2500") })
		secondWon := bothSend && got.err != nil // it does not end its stream
		if got.body != eventsText(5) || got.err != nil && !secondWon {
			t.Errorf("both send %t: error %v, body %q", bothSend, got.err, got.body)
		}
		closed.await(t, "the second to be ended")
		fx.waitForRelease(runners)
	}
}

func TestCallerThatLeavesEndsBothAttempts(t *testing.T) {
	fx := newFixture(t)
	begun, closed := make(signal), []signal{make(signal), make(signal)}
	runners := fx.startInOrder(untilClosed(2, make(signal), closed[0]), untilClosed(0, begun, closed[1]))
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		begun.await(t, "the second")
		leave()
	}()
	_, _ = fx.tryCall(ctx, pathStream, nil)
	closed[0].await(t, "the first to be ended")
	closed[1].await(t, "the second to be ended")
	fx.waitForRelease(runners)
}

func TestRevokedKeyDoesNotEndASilentStream(t *testing.T) {
	fx := newFixture(t)
	first := func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
		r.SendEvents(w, run, 2)
		fx.publishConfiguration(routes(), "key-2")
		silent(streamStallTimeout + 400*time.Millisecond)
		_, _ = io.WriteString(w, strings.TrimPrefix(eventsText(4), eventsText(2)))
	}
	var asked atomic.Bool
	fx.startInOrder(first, func(*platformtest.Runner, http.ResponseWriter, platformtest.Run) { asked.Store(true) })
	if got := fx.mustCall(pathStream, nil); got.err != nil || got.body != eventsText(4) || asked.Load() {
		t.Errorf("error %v, body %q, sent with a revoked key: %t", got.err, got.body, asked.Load())
	}
}

func TestAnswersOfTwoEndpointsAreNotMixed(t *testing.T) {
	reply := func(status int, body string) serveFunc {
		return func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
			r.Reply(w, run, status, body)
		}
	}
	for name, c := range map[string]struct {
		second  serveFunc
		firstOK bool // the first answers once the second has
		want    string
	}{
		"the second is faster":     {reply(http.StatusOK, "second"), false, "second"},
		"the second fails":         {reply(http.StatusInternalServerError, "second"), true, "first"},
		"the second has too many":  {reply(http.StatusTooManyRequests, "second"), true, "first"},
		"the second says not now":  {(*platformtest.Runner).Reject, true, "first"},
		"the second is broken off": {func(*platformtest.Runner, http.ResponseWriter, platformtest.Run) { platformtest.AbortConnection() }, true, "first"},
	} {
		fx := newFixture(t)
		fx.setObjective(300)
		asked, ended := make(signal), make(signal)
		first := untilClosed(0, make(signal), ended)
		if c.firstOK {
			first = func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
				asked.await(t, "the second")
				silent(200 * time.Millisecond)
				r.Reply(w, run, http.StatusOK, "first")
				close(ended)
			}
		}
		runners := fx.startInOrder(first, func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
			close(asked)
			c.second(r, w, run)
		})
		if got := fx.mustCall(pathIdempotent, nil); got.status != http.StatusOK || got.body != c.want {
			t.Errorf("%s: status %d, body %q", name, got.status, got.body)
		}
		ended.await(t, "the first to be ended")
		fx.waitForRelease(runners)
	}
}

func TestFailedFirstLeavesTheSecondOpen(t *testing.T) {
	for _, status := range []int{0, http.StatusInternalServerError} { // 0: it is broken off
		fx := newFixture(t)
		fx.setObjective(300)
		asked, failed := make(signal), make(signal)
		first := func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
			defer close(failed)
			asked.await(t, "the second")
			if status == 0 {
				platformtest.AbortConnection()
			}
			r.Reply(w, run, status, "failed")
		}
		fx.startInOrder(first, func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
			close(asked)
			failed.await(t, "the first to fail")
			silent(200 * time.Millisecond)
			r.Reply(w, run, http.StatusOK, "second")
		})
		if got := fx.mustCall(pathIdempotent, nil); got.status != http.StatusOK || got.body != "second" {
			t.Errorf("after %d of the first: status %d, body %q", status, got.status, got.body)
		}
	}
}

func TestLongAnswerThatItsTimeoutEndsDoesNotLookComplete(t *testing.T) {
	fx := newFixture(t)
	closed := make(signal)
	runners := fx.startInOrder(func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
		r.Sign(w, run)
		_, _ = w.Write(make([]byte, 2*maxBufferedBytes))
		untilClosed(0, make(signal), closed)(r, w, run)
	})
	if got, err := fx.tryCall(t.Context(), pathShortTimeout, nil); err == nil && got.err == nil {
		t.Errorf("status %d and %d bytes end in order", got.status, len(got.body))
	}
	closed.await(t, "the endpoint's connection to be closed")
	fx.waitForRelease(runners)
}

func TestSilentCallThatMayRunOnceIsAskedOnce(t *testing.T) {
	fx := newFixture(t)
	var asked atomic.Int32
	once := func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
		asked.Add(1)
		silent(streamStallTimeout + 300*time.Millisecond)
		r.Reply(w, run, http.StatusOK, "once")
	}
	fx.startInOrder(once, once)
	if got := fx.mustCall(pathAtMostOnce, nil); got.body != "once" || asked.Load() != 1 {
		t.Errorf("status %d, body %q, asked %d times", got.status, got.body, asked.Load())
	}
}

func TestSilenceCountsAsAFailureUntilTheEndpointGoesOn(t *testing.T) {
	fx := newFixture(t)
	f := fx.gateway.newForwarder(nil, new(http.Request), &acceptedCall{route: &catalog.Route{MaxAttempts: 2}, call: &call.Call{}}, time.Now())
	defer f.cancel()
	for _, goesOn := range []bool{false, true} {
		a := &attempt{f: f, endpoint: &catalog.Endpoint{ID: "r1"}, ctx: t.Context()}
		a.sentAt.Store(1)
		f.recordSilence(a)
		if goesOn {
			f.recordProgress(a)
		}
		if failed := fx.gateway.placer.RecordSuccess("r1"); failed == goesOn {
			t.Errorf("went on %t: counts as failed %t", goesOn, failed)
		}
	}
}
