package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// breakFirstStream makes the first back end that gets a request break off its stream in the middle of an event, after the
// given number of complete events.
func breakFirstStream(runners []*platformtest.Runner, after, total int) {
	var mu sync.Mutex
	broken := false
	for _, r := range runners {
		r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) {
			mu.Lock()
			first := !broken
			broken = true
			mu.Unlock()
			if !first {
				r.SendEvents(rw, run, total)
				return
			}
			r.SendEvents(rw, run, after)
			platformtest.SendPartialEvent(rw, after+1)
			platformtest.AbortConnection()
		})
	}
}

func TestBrokenStreamResumesAtAnotherEndpoint(t *testing.T) {
	for _, after := range []int{0, 1, 4} {
		fx := newFixture(t)
		first, second := fx.startBackend("r1", "e"), fx.startBackend("r2", "e")
		breakFirstStream([]*platformtest.Runner{first, second}, after, 6)
		got := fx.mustCall(pathStream, nil)
		if got.err != nil || got.status != http.StatusOK || got.body != eventsText(6) {
			t.Errorf("broken after %d events: status %d, error %v, body %q", after, got.status, got.err, got.body)
		}
		if len(first.Runs()) != 1 || len(second.Runs()) != 1 {
			t.Errorf("the endpoints ran %d and %d requests, want 1 and 1", len(first.Runs()), len(second.Runs()))
		}
	}
}

func TestStalledStreamResumesAtAnotherEndpoint(t *testing.T) {
	fx := newFixture(t)
	runners := []*platformtest.Runner{fx.startBackend("r1", "e"), fx.startBackend("r2", "e")}
	var mu sync.Mutex
	requests := 0
	for _, r := range runners {
		r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) {
			mu.Lock()
			requests++
			stalls := requests == 1
			mu.Unlock()
			if !stalls {
				r.SendEvents(rw, run, 4)
				return
			}
			r.SendEvents(rw, run, 2)
			conn, _, err := rw.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = conn.Read(make([]byte, 1)) // until the gateway closes the connection
		})
	}
	if got := fx.mustCall(pathStream, nil); got.err != nil || got.body != eventsText(4) {
		t.Errorf("error %v, body %q", got.err, got.body)
	}
}

// Both endpoints break off the stream. The caller must be able to tell that it is incomplete.
func TestStreamBrokenAtAllEndpointsEndsTheConnection(t *testing.T) {
	fx := newFixture(t)
	for _, r := range []*platformtest.Runner{fx.startBackend("r1", "e"), fx.startBackend("r2", "e")} {
		r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) {
			r.SendEvents(rw, run, 2)
			platformtest.AbortConnection()
		})
	}
	got := fx.mustCall(pathStream, nil)
	if got.err == nil {
		t.Errorf("the caller read the broken stream %q without an error", got.body)
	}
	if !strings.HasPrefix(eventsText(2), got.body) {
		t.Errorf("body %q is not a prefix of the stream", got.body)
	}
}

// The caller reconnects after a broken connection and names the last event that it has.
func TestStreamResumesAfterCallersLastEvent(t *testing.T) {
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) { r.SendEvents(rw, run, 5) })
	got := fx.mustCall(pathStream, func(request *http.Request) { request.Header.Set(platformtest.HeaderResume, "3") })
	if got.body != strings.TrimPrefix(eventsText(5), eventsText(3)) {
		t.Errorf("body %q, want the events after the third", got.body)
	}
}

// endInsideAnEvent sends some events and half of the next, and ends the response in order: with its connection if it is
// unframed, and otherwise with a last chunk.
func endInsideAnEvent(r *platformtest.Runner, rw http.ResponseWriter, run platformtest.Run, events int, unframed bool) {
	if unframed {
		platformtest.OmitFraming(rw)
	}
	r.SendEvents(rw, run, events)
	platformtest.SendPartialEvent(rw, events+1)
}

func TestStreamEndingInsideAnEventIsResumed(t *testing.T) {
	for _, unframed := range []bool{true, false} {
		fx := newFixture(t)
		runners := []*platformtest.Runner{fx.startBackend("r1", "e"), fx.startBackend("r2", "e")}
		var broken sync.Once
		for _, r := range runners {
			r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) {
				first := false
				broken.Do(func() { first = true })
				if first {
					endInsideAnEvent(r, rw, run, 3, unframed)
					return
				}
				r.SendEvents(rw, run, 6)
			})
		}
		if got := fx.mustCall(pathStream, nil); got.err != nil || got.body != eventsText(6) {
			t.Errorf("unframed %v: error %v, body %q", unframed, got.err, got.body)
		}
	}
}

func TestStreamEndingInsideAnEventDoesNotLookComplete(t *testing.T) {
	for _, unframed := range []bool{true, false} {
		for _, path := range []string{pathStream, pathStreamOnce} {
			fx := newFixture(t)
			for _, r := range []*platformtest.Runner{fx.startBackend("r1", "e"), fx.startBackend("r2", "e")} {
				r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) { endInsideAnEvent(r, rw, run, 3, unframed) })
			}
			got, err := fx.tryCall(t.Context(), path, nil)
			if err == nil && got.err == nil && got.status == http.StatusOK {
				t.Errorf("%s, unframed %v: the caller read %q without an error", path, unframed, got.body)
			}
			if got.status == http.StatusOK && !strings.HasPrefix(eventsText(3), got.body) {
				t.Errorf("%s, unframed %v: body %q is not a prefix of the stream", path, unframed, got.body)
			}
		}
	}
}

func TestWholeUnframedStreamIsDelivered(t *testing.T) {
	for _, path := range []string{pathStream, pathStreamOnce} {
		fx := newFixture(t)
		r := fx.startBackend("r1", "e")
		r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) {
			platformtest.OmitFraming(rw)
			r.SendEvents(rw, run, 4)
		})
		if got := fx.mustCall(path, nil); got.err != nil || got.status != http.StatusOK || got.body != eventsText(4) {
			t.Errorf("%s: status %d, error %v, body %q", path, got.status, got.err, got.body)
		}
	}
}

func TestUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	sendNothing := func(r *platformtest.Runner) func(http.ResponseWriter, platformtest.Run) {
		return func(rw http.ResponseWriter, run platformtest.Run) {
			platformtest.OmitFraming(rw)
			r.SendEvents(rw, run, 0)
		}
	}
	for _, path := range []string{pathStream, pathStreamOnce} {
		fx := newFixture(t)
		r := fx.startBackend("r1", "e")
		r.SetHandler(sendNothing(r))
		got, err := fx.tryCall(t.Context(), path, nil)
		if err == nil && got.err == nil && got.status == http.StatusOK {
			t.Errorf("%s: the caller read %q without an error", path, got.body)
		}
	}
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) { r.SendEvents(rw, run, 0) })
	if got := fx.mustCall(pathStream, nil); got.err != nil || got.status != http.StatusOK {
		t.Errorf("a framed stream without events: status %d, error %v", got.status, got.err)
	}
}

func TestBrokenAnswerToHTTP10DoesNotLookComplete(t *testing.T) {
	for _, test := range []struct {
		path    string
		handler func(*platformtest.Runner, http.ResponseWriter, platformtest.Run)
	}{
		{pathStreamOnce, func(r *platformtest.Runner, rw http.ResponseWriter, run platformtest.Run) {
			r.SendEvents(rw, run, 2)
			platformtest.AbortConnection()
		}},
		{pathIdempotent, func(r *platformtest.Runner, rw http.ResponseWriter, run platformtest.Run) {
			r.Sign(rw, run)
			_, _ = rw.Write(make([]byte, 2*maxBufferedBytes))
			platformtest.AbortConnection()
		}},
	} {
		fx := newFixture(t)
		r := fx.startBackend("r1", "e")
		r.SetHandler(func(rw http.ResponseWriter, run platformtest.Run) { test.handler(r, rw, run) })
		conn, err := net.Dial("tcp", fx.frontServer.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: h.example\r\n%s: attempt-1\r\n%s: %skey-1\r\n\r\n", test.path, platformtest.HeaderAttempt, platformtest.HeaderKey, platformtest.KeyScheme)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(conn)
		_ = conn.Close()
		if err == nil {
			t.Errorf("%s: %d bytes of a broken answer end in order: %.60q", test.path, len(answer), answer)
		}
	}
}
