package gateway

import (
	"net/http"
	"testing"

	"github.com/lovageglade/lovageglade/internal/wire"
)

// A request that a sidecar takes back has arrived at its engine, and the platform counts further arrivals as retries.
func TestRequestsThatAreTakenBackDrawOnTheRetryBudget(t *testing.T) {
	for _, takenBack := range []bool{true, false} {
		fx := newFixture(t)
		fx.gateway.settings.RetryRatio = 0 // the budget holds retryBurst and gets no more
		fx.startModelEngine("r1")
		fx.startModelEngine("r2")
		fx.waitFor("both engines", func() bool { return len(fx.gateway.follower.View().AvailableEndpoints("plain")) == 2 })
		asked := 0
		port, stop := startSidecarStandWith(t, func(w http.ResponseWriter) {
			asked++ // requests come one after another
			if takenBack {
				w.Header().Set(wire.HeaderTakenBack, "1")
			}
		})
		defer stop()
		fx.gateway.settings.Ports = []int{port, port}
		const requests = 2 * retryBurst
		for range requests {
			got := fx.mustCall(pathModel, func(r *http.Request) {
				r.Header.Set("X-Model", "m")
				r.Header.Set("X-Deadline-Ms", "2000")
			})
			if got.status != http.StatusServiceUnavailable {
				t.Errorf("status %d for a request that has not run", got.status)
			}
		}
		want := 2 * requests
		if takenBack {
			want = requests + retryBurst
		}
		if asked != want {
			t.Errorf("taken back %v: %d requests reached sidecars, want %d", takenBack, asked, want)
		}
	}
}
