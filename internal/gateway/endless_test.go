package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

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
