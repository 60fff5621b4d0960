package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/lovageglade/lovageglade/internal/budget"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// sendEndlessly writes the text until the connection is closed.
func sendEndlessly(w io.Writer, text string) {
	text = strings.Repeat(text, 1+16<<10/len(text))
	for _, err := io.WriteString(w, text); err == nil; _, err = io.WriteString(w, text) {
	}
}

// The answers of a back end in trouble have no end, and another back end answers.
func TestAnswersWithoutEndAreReplacedByAnotherEndpoints(t *testing.T) {
	for name, send := range map[string]func(http.ResponseWriter){
		"a head":             func(w http.ResponseWriter) { hijackAndSend(w, "HTTP/1.1 200 OK\r\nA: ") },
		"an unsigned body":   func(w http.ResponseWriter) { sendEndlessly(w, "x") },
		"an event in a body": func(w http.ResponseWriter) { w.Header().Set(platformtest.HeaderSignature, "s"); sendEndlessly(w, "x") },
	} {
		fx := newFixture(t)
		endless := fx.startBackend("r1", "e")
		reached := make(chan struct{}, 10)
		endless.SetHandler(func(w http.ResponseWriter, _ platformtest.Run) {
			reached <- struct{}{}
			send(w)
		})
		other := fx.startBackend("r2", "w") // chosen after the one in the gateway's region
		other.SetHandler(func(w http.ResponseWriter, run platformtest.Run) { other.SendEvents(w, run, 2) })
		got := fx.mustCall(pathStream, nil)
		if got.status != http.StatusOK || got.err != nil || got.body != eventsText(2) || len(reached) != 1 {
			t.Errorf("%s without end: status %d, %d bytes, %v; %d requests reached the endpoint in trouble", name, got.status, len(got.body), got.err, len(reached))
		}
	}
}

// hijackAndSend writes the text, and then bytes without end, to the connection itself.
func hijackAndSend(w http.ResponseWriter, text string) {
	socket, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer socket.Close()
	if _, err := io.WriteString(socket, text); err == nil {
		sendEndlessly(socket, "x")
	}
}

// Many answers at a time grow without end. The gateway keeps a bounded part of all of them, and serves other requests.
func TestAnswersWithoutEndAreBoundedTogether(t *testing.T) {
	const (
		calls    = 300
		kept     = 16 << 20  // bytes of heads and events
		sent     = 220 << 10 // bytes of a head, within its limit
		sentBody = 900 << 10 // bytes of an event, likewise
		perCall  = 192 << 10 // bytes for each call and its stand-in, a part of the head or event included
	)
	for name, kind := range map[string]struct {
		head, repeated string
		bytes          int
	}{
		"a line of a head": {"A: ", "x", sent},
		"lines of a head":  {"", "A: b\r\n", sent},
		"an event":         {"\r\n", "x", sentBody},
	} {
		fx, engines := newSidecarFixture(t, 1)
		fx.gateway.kept = budget.New(kept)
		fx.gateway.pool.Heads = fx.gateway.kept
		fx.registerPlain(engines[0])
		text := []byte(strings.Repeat(kind.repeated, 4<<10/len(kind.repeated)))
		release := make(chan struct{})
		var settled sync.Map // ids of calls that have ended, or whose answers have been sent as far as they are
		engines[0].setServe(func(conn net.Conn, request *http.Request) bool {
			id := request.Header.Get(platformtest.HeaderAttempt)
			if id == "beside" {
				writeSound(conn, request)
				return true
			}
			head := rawHead(request, http.StatusOK, lineEvents)
			_, err := io.WriteString(conn, strings.TrimSuffix(head, "\r\n")+kind.head)
			for written := 0; err == nil && written < kind.bytes; written += len(text) {
				_, err = conn.Write(text)
			}
			settled.Store(id, true)
			<-release
			return false
		})
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var running sync.WaitGroup
		for i := range calls {
			running.Go(func() {
				id := fmt.Sprintf("call-%d", i)
				defer settled.Store(id, true) // also a call that was refused
				got, err := fx.tryCall(t.Context(), pathStreamOnce, func(request *http.Request) {
					request.Header.Set(platformtest.HeaderAttempt, id)
					request.Header.Set(platformtest.HeaderDeadline, "20000")
				})
				if err == nil && got.err == nil && got.status < http.StatusMultipleChoices {
					t.Errorf("%s without end: status %d, %d bytes", name, got.status, len(got.body))
				}
			})
		}
		fx.waitFor("the answers", func() bool {
			count := 0
			settled.Range(func(any, any) bool { count++; return true })
			return count == calls
		})
		runtime.GC()
		runtime.ReadMemStats(&after)
		if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > kept+calls*perCall {
			t.Errorf("%s without end: the heap has grown by %d MB", name, grown>>20)
		}
		got := fx.mustCall(pathEngineStreamOnce, func(request *http.Request) {
			forModel(request)
			request.Header.Set(platformtest.HeaderAttempt, "beside")
		})
		if got.status != http.StatusOK || got.err != nil {
			t.Errorf("%s without end: a call beside it: status %d, %v", name, got.status, got.err)
		}
		close(release)
		running.Wait()
		if held := fx.gateway.kept.Held(); held != 0 {
			t.Errorf("%s without end: %d bytes are held after it", name, held)
		}
	}
}
