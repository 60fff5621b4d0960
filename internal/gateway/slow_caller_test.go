package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// The stream of a slow caller's test is larger than what the sockets between endpoint and caller hold.
const (
	largeEventBytes = 256 << 10
	largeEvents     = 128
)

// sendLargeEvents sends a stream of large events as fast as it is read.
func sendLargeEvents(r *platformtest.Runner) func(http.ResponseWriter, platformtest.Run) {
	return func(w http.ResponseWriter, run platformtest.Run) {
		r.Sign(w, run)
		data := strings.Repeat("d", largeEventBytes)
		for id := range largeEvents {
			if _, err := io.WriteString(w, "id: "+strconv.Itoa(id+1)+"\ndata: "+data+"\n\n"); err != nil {
				return
			}
		}
	}
}

// startStream sends a request for a stream through the fixture's gateway and returns the answer with its body unread.
func (fx *fixture) startStream(ctx context.Context, path string) *http.Response {
	fx.t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fx.frontServer.URL+path, nil)
	if err != nil {
		fx.t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set(platformtest.HeaderKey, platformtest.KeyScheme+"key-1")
	request.Header.Set(platformtest.HeaderAttempt, "slow-caller")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		fx.t.Fatal(err)
	}
	fx.t.Cleanup(func() { _ = answer.Body.Close() })
	return answer
}

// A caller that reads slowly holds up the gateway, not the endpoint: the endpoint must neither be left nor count as failing.
func TestSlowCallerDoesNotEndASoundStream(t *testing.T) {
	fx := newFixture(t)
	runners := []*platformtest.Runner{fx.startBackend("r1", "e"), fx.startBackend("r2", "e")}
	for _, r := range runners {
		r.SetHandler(sendLargeEvents(r))
	}
	answer := fx.startStream(context.Background(), pathLongStream)
	time.Sleep(streamStallTimeout + 300*time.Millisecond)
	read, err := io.Copy(io.Discard, answer.Body)
	if err != nil || read < largeEvents*largeEventBytes {
		t.Errorf("%d bytes read, error %v, want the whole stream", read, err)
	}
	if runs := len(runners[0].Runs()) + len(runners[1].Runs()); runs != 1 {
		t.Errorf("the stream was run %d times, want once", runs)
	}
}

func TestCallerThatStopsReadingIsEnded(t *testing.T) {
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	ended := make(chan struct{})
	send := sendLargeEvents(r)
	r.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
		defer close(ended)
		send(w, run)
	})
	fx.startStream(context.Background(), pathStreamOnce) // the answer is not read
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("the endpoint still works for a caller that does not read")
	}
	fx.waitFor("the call to leave the endpoint's load", func() bool {
		return fx.gateway.placer.Meter("r1").Load(fx.gateway.now(), 4) == 0
	})
}

func TestCommentsAreNoProgressOfAStream(t *testing.T) {
	for event, want := range map[string]bool{
		"id: 1\ndata: a\n\n":    true,
		": note\ndata: a\n\n":   true,
		": note\n\n":            false,
		": note\r\n: b\r\n\r\n": false,
		"\n\n":                  false,
	} {
		if got := isProgress([]byte(event)); got != want {
			t.Errorf("%q is progress: %t, want %t", event, got, want)
		}
	}
}

func TestStallTimeoutsAllowWhatTheRouteAllows(t *testing.T) {
	for name, c := range map[string]struct {
		objective, pause         time.Duration
		wantFirst, wantNextEvent time.Duration
	}{
		"short aims":              {400 * time.Millisecond, 400 * time.Millisecond, streamStallTimeout, streamStallTimeout},
		"a first event after 3 s": {3 * time.Second, 0, 3900 * time.Millisecond, streamStallTimeout},
		"pauses of 2 s":           {0, 2 * time.Second, streamStallTimeout, 6 * time.Second},
	} {
		if first, next := firstEventTimeout(c.objective), pauseTimeout(c.pause); first != c.wantFirst || next != c.wantNextEvent {
			t.Errorf("%s: %v for the first event and %v for the next, want %v and %v", name, first, next, c.wantFirst, c.wantNextEvent)
		}
	}
}
