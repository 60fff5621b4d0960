package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// The registry still lists the endpoint as ready after the endpoint said that it is leaving.
func TestEndpointThatSaysItIsLeavingGetsNoMoreRequests(t *testing.T) {
	fx := newFixture(t)
	leaving := fx.startBackend("r1", "e")
	leaving.SetLeaving(true)
	if got := fx.mustCall(pathAtMostOnce, nil); got.status != http.StatusOK {
		t.Fatalf("the answer of a leaving endpoint was not delivered: %+v", got)
	}
	if got := fx.mustCall(pathAtMostOnce, nil); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want a refusal: the only endpoint is leaving", got.status)
	}
	other := fx.startBackend("r2", "w")
	for range 5 {
		fx.mustCall(pathIdempotent, nil)
	}
	if len(leaving.Runs()) != 1 || len(other.Runs()) != 5 {
		t.Errorf("%d requests reached the leaving endpoint and %d the other, want 1 and 5", len(leaving.Runs()), len(other.Runs()))
	}
}

// An endpoint refuses a request and asks for no more of them for some time. The request runs elsewhere.
func TestEndpointThatHoldsRequestsOffIsLeftAlone(t *testing.T) {
	fx := newFixture(t)
	busy := fx.startBackend("r1", "e")
	refusals := make(chan struct{}, 100)
	busy.SetHoldOff(30 * time.Second)
	busy.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
		refusals <- struct{}{}
		busy.Reject(w, run)
	})
	got := fx.mustCall(pathAtMostOnce, nil)
	if seconds := retryAfter(t, got); got.status != http.StatusServiceUnavailable || seconds < 29 || seconds > 32 {
		t.Errorf("status %d with Retry-After %v, want a refusal until the endpoint takes requests again", got.status, seconds)
	}
	other := fx.startBackend("r2", "w")
	for range 5 {
		if got := fx.mustCall(pathAtMostOnce, nil); got.status != http.StatusOK {
			t.Errorf("status %d although another endpoint takes requests", got.status)
		}
	}
	if len(refusals) != 1 || len(other.Runs()) != 5 {
		t.Errorf("%d requests reached the endpoint that holds them off, want 1", len(refusals))
	}
}

// Callers that are refused because all endpoints hold requests off must not come back at the same moment.
func TestRetriesAfterAHoldOffAreSpread(t *testing.T) {
	fx := newFixture(t)
	busy := fx.startBackend("r1", "e")
	busy.SetHoldOff(20 * time.Second)
	busy.SetHandler(func(w http.ResponseWriter, run platformtest.Run) { busy.Reject(w, run) })
	times := make(map[float64]bool)
	for range 20 {
		times[retryAfter(t, fx.mustCall(pathIdempotent, nil))] = true
	}
	if len(times) < 10 {
		t.Errorf("20 callers were given %d different times", len(times))
	}
}
