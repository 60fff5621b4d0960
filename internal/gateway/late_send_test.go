package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

func TestKeyThatIsRevokedBeforeTheBodyHasArrivedSendsNothing(t *testing.T) {
	fx := newFixture(t)
	backend := fx.startBackend("r1", "e")
	body, upload := io.Pipe()
	begun := make(chan struct{})
	go func() {
		_, _ = upload.Write([]byte("begin")) // the gateway reads it once it has checked the key
		close(begun)
		fx.waitFor("the revocation", func() bool { return fx.gateway.follower.View().Workspace("key-1") == nil })
		_ = upload.Close()
	}()
	go func() {
		<-begun
		fx.publishConfiguration(routes(), "key-2")
	}()
	got := fx.mustCall(pathAtMostOnce, func(r *http.Request) { r.Body, r.ContentLength = body, -1 })
	if got.status != http.StatusUnauthorized || len(backend.Runs()) != 0 {
		t.Errorf("status %d, %d runs, want 401 and none: the key was revoked", got.status, len(backend.Runs()))
	}
}

// The process is suspended between the pick of an endpoint and the send.
func TestRequestIsNotSentLongAfterItsEndpointWasPicked(t *testing.T) {
	fx := newFixture(t)
	backend := fx.startBackend("r1", "e")
	request := httptest.NewRequest(http.MethodPost, pathAtMostOnce, nil)
	request.Host = "h.example"
	request.Header.Set(platformtest.HeaderKey, platformtest.KeyScheme+"key-1")
	accepted, err := fx.gateway.accept(request)
	if err != nil {
		t.Fatal(err)
	}
	f := fx.gateway.newForwarder(httptest.NewRecorder(), request, accepted, time.Now())
	defer f.cancel()
	defer f.endAttempts()
	a := f.pick()
	a.pickedAt -= maxSendDelay
	f.begin(a)
	if f.handle(<-f.reports) || len(backend.Runs()) != 0 || f.possibleRuns() != 0 || !f.outdated {
		t.Errorf("%d runs, want the request refused as not run", len(backend.Runs()))
	}
}
