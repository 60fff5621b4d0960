package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// silent lets the given time pass in the handler of an endpoint that goes on afterwards.
func silent(length time.Duration) { <-time.After(length) }

// firstServesOthersRefuse makes the endpoint that gets the first request serve it and all others refuse.
func firstServesOthersRefuse(runners []*platformtest.Runner, serve func(*platformtest.Runner, http.ResponseWriter, platformtest.Run)) {
	var taken atomic.Bool
	for _, r := range runners {
		r.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
			if taken.Swap(true) {
				r.Reject(w, run)
				return
			}
			serve(r, w, run)
		})
	}
}

func TestSilenceOfASoundEndpointDoesNotCutItsStream(t *testing.T) {
	for _, after := range []int{0, 2} {
		for _, silence := range []time.Duration{900 * time.Millisecond, 1400 * time.Millisecond, 1700 * time.Millisecond} {
			fx := newFixture(t)
			firstServesOthersRefuse([]*platformtest.Runner{fx.startBackend("r1", "e"), fx.startBackend("r2", "e")}, func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
				r.SendEvents(w, run, after)
				silent(silence)
				_, _ = io.WriteString(w, strings.TrimPrefix(eventsText(5), eventsText(after)))
			})
			if got := fx.mustCall(pathStream, nil); got.err != nil || got.status != http.StatusOK || got.body != eventsText(5) {
				t.Errorf("silent for %v after %d events: status %d, error %v, body %q", silence, after, got.status, got.err, got.body)
			}
		}
	}
}

func TestSilenceOfASoundEndpointDoesNotCutItsAnswer(t *testing.T) {
	fx := newFixture(t)
	slow := routes()
	for _, route := range slow {
		route["target-latency-ms"] = 300
	}
	fx.publishConfiguration(slow, "key-1")
	fx.waitFor("the objectives", func() bool { return fx.gateway.follower.View().Configuration.Version == int64(fx.configVersion) })
	firstServesOthersRefuse([]*platformtest.Runner{fx.startBackend("r1", "e"), fx.startBackend("r2", "e")}, func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
		silent(time.Second)
		r.Reply(w, run, http.StatusOK, "whole")
	})
	if got := fx.mustCall(pathIdempotent, nil); got.err != nil || got.status != http.StatusOK || got.body != "whole" {
		t.Errorf("status %d, error %v, body %q", got.status, got.err, got.body)
	}
}

func TestLateEndOfAStreamReachesItsCaller(t *testing.T) {
	for _, path := range []string{pathStream, pathStreamOnce} {
		fx := newFixture(t)
		r := fx.startBackend("r1", "e")
		r.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
			r.SendEvents(w, run, 2)
			silent(callerReadTimeout + 400*time.Millisecond)
		})
		if got := fx.mustCall(path, nil); got.err != nil || got.body != eventsText(2) {
			t.Errorf("%s: error %v, body %q", path, got.err, got.body)
		}
	}
}
