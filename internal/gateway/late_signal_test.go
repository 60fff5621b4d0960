package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// A busy process notices SIGTERM some hundred milliseconds after it was sent. A request that is sent later than three seconds after
// the signal then arrives earlier in the stop, and must not be cut off at the end of the grace period either.
func TestRequestSentLateIsNotCutOffByAStopThatBeganLate(t *testing.T) {
	const noticeDelay, sentAfter = 500 * time.Millisecond, 3050 * time.Millisecond // from the signal
	fx := newFixture(t)
	r := fx.startBackend("r1", "e")
	r.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
		r.SendEvents(w, run, 2)
		silent(2500 * time.Millisecond)
		_, _ = io.WriteString(w, strings.TrimPrefix(eventsText(3), eventsText(2)))
	})
	front, stop := fx.startProcess(5 * time.Second)
	c, err := net.Dial("tcp", front)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	time.Sleep(noticeDelay)
	stop()
	time.Sleep(sentAfter - noticeDelay)
	const request = "GET " + pathStreamOnce + " HTTP/1.1\r\nHost: h.example\r\n" + platformtest.HeaderAttempt + ": attempt-1\r\n" + platformtest.HeaderKey + ": " + platformtest.KeyScheme + "key-1\r\n\r\n"
	_, _ = io.WriteString(c, request)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal("no answer: ", err)
	}
	body, err := io.ReadAll(answer.Body)
	if answer.StatusCode == http.StatusServiceUnavailable {
		if after := answer.Header.Get("Retry-After"); after != "0.00" {
			t.Errorf("Retry-After: %q, though another gateway can answer at once", after)
		}
		return
	}
	if err != nil || string(body) != eventsText(3) {
		t.Errorf("status %d, error %v, body %q, want a whole answer or none", answer.StatusCode, err, body)
	}
}
