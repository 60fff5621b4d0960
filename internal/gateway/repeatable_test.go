package gateway

import (
	"net/http"
	"testing"

	"github.com/lovageglade/lovageglade/internal/wire"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// A sidecar takes a request back from its engine, and another engine runs it, if the gateway says that it may run again. A caller cannot say so
// for a route that runs once.
func TestCallerCannotMakeARequestRepeatable(t *testing.T) {
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	received := "none"
	r.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
		received = run.Header.Get(wire.HeaderRepeatable)
		r.Reply(w, run, http.StatusOK, "ok")
	})
	got := fx.mustCall(pathAtMostOnce, func(request *http.Request) { request.Header.Set(wire.HeaderRepeatable, "1") })
	if got.status != http.StatusOK || received != "" {
		t.Errorf("status %d, the request was sent on with %s: %q", got.status, wire.HeaderRepeatable, received)
	}
}
