package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// truncatedHeads are heads of answers with their bodies. An endpoint ends them within the head.
var truncatedHeads = []struct {
	name string
	head func(request *http.Request) string
	body string
}{
	{"length", func(r *http.Request) string { return rawHead(r, http.StatusOK, "Content-Length: 12") }, "whole answer"},
	{"chunks", func(r *http.Request) string { return rawHead(r, http.StatusOK, lineChunked) }, chunk("whole answer") + lastChunk},
	{"unframed", func(r *http.Request) string { return rawHead(r, http.StatusOK) }, "whole answer"},
	{"events", func(r *http.Request) string { return rawHead(r, http.StatusOK, lineEvents) }, eventsText(2)},
	{"empty", func(r *http.Request) string { return rawHead(r, http.StatusOK, "Content-Length: 0") }, ""},
	{"interim response first", func(r *http.Request) string {
		return "HTTP/1.1 103 x\r\nLink: </a>\r\n\r\n" + rawHead(r, http.StatusOK, "Content-Length: 12")
	}, "whole answer"},
	{"bare line feeds", func(r *http.Request) string {
		return strings.ReplaceAll(rawHead(r, http.StatusOK, "Content-Length: 12"), "\r\n", "\n")
	}, "whole answer"},
}

// truncations are the ways in which an endpoint ends a head.
var truncations = []struct {
	name  string
	pause time.Duration // before the end
	end   func(conn net.Conn)
}{
	{"closes", 0, func(net.Conn) {}},
	{"resets", 0, func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }},
	{"pauses and closes", 450 * time.Millisecond, func(net.Conn) {}},
}

// An endpoint that ends its connection within the head of an answer has given none: what is there of the head, a sound status and
// signature included, must not reach a caller as a whole answer.
func TestAnswerThatEndsWithinItsHeadIsNoAnswer(t *testing.T) {
	fx, engines := newSidecarFixture(t, 1)
	fx.registerPlain(engines[0])
	probe, err := http.NewRequest(http.MethodPost, "/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	probe.Header.Set(platformtest.HeaderAttempt, "attempt-1")
	paths := []string{pathIdempotent, pathAtMostOnce, pathStream, pathStreamOnce, pathEngineSafe, pathEngineOnce, pathEngineStream, pathEngineStreamOnce}
	count := 0
	for _, kind := range truncatedHeads {
		for _, truncation := range truncations {
			length := len(kind.head(probe))
			for _, missing := range []int{1, 2, 3, 4, 5, length / 3, length / 2, length - 20} {
				if truncation.pause > 0 && missing > 2 {
					continue
				}
				path := paths[count%len(paths)]
				count++
				var answered atomic.Int64
				engines[0].setServe(func(conn net.Conn, request *http.Request) bool {
					if answered.Add(1) == 1 && count%2 == 0 {
						writeSound(conn, request) // the cut answer is the second one of its connection
						return true
					}
					head := kind.head(request)
					_, _ = io.WriteString(conn, head[:max(1, len(head)-missing)])
					time.Sleep(truncation.pause)
					truncation.end(conn)
					return false
				})
				withHead := func(request *http.Request) {
					request.Header.Set(platformtest.HeaderModel, "m")
					request.Header.Set(platformtest.HeaderTokens, "10,10")
					if count%5 == 0 {
						asHead(request)
					}
				}
				name := fmt.Sprintf("%s, %s, %d bytes missing, %s", kind.name, truncation.name, missing, path)
				if count%2 == 0 {
					if got := fx.mustCall(path, withHead); got.status != http.StatusOK {
						t.Errorf("%s: status %d of a sound answer: %s", name, got.status, got.body)
					}
				}
				got, err := fx.tryCall(t.Context(), path, withHead)
				if err == nil && got.err == nil && got.status < http.StatusMultipleChoices {
					t.Errorf("%s: status %d, body %q", name, got.status, got.body)
				}
			}
		}
	}
	if count < 120 {
		t.Errorf("only %d answers were cut", count)
	}
}

// writeSound writes a whole answer for any route.
func writeSound(conn net.Conn, request *http.Request) {
	body := eventsText(1)
	head := rawHead(request, http.StatusOK, lineEvents, fmt.Sprintf("Content-Length: %d", len(body)))
	if request.Method == http.MethodHead {
		body = ""
	}
	_, _ = io.WriteString(conn, head+body)
}

// The same heads, not truncated, are answers: the test above would pass if no answer of the stand-in reached a caller.
func TestAnswersWithTheWholeHeadReachTheCaller(t *testing.T) {
	fx, engines := newSidecarFixture(t, 1)
	fx.registerPlain(engines[0])
	for _, kind := range truncatedHeads {
		engines[0].setServe(func(conn net.Conn, request *http.Request) bool {
			_, _ = io.WriteString(conn, kind.head(request)+kind.body)
			return false
		})
		for _, path := range []string{pathIdempotent, pathEngineSafe} {
			got, err := fx.tryCall(t.Context(), path, func(request *http.Request) {
				request.Header.Set(platformtest.HeaderModel, "m")
				request.Header.Set(platformtest.HeaderTokens, "10,10")
			})
			if err != nil || got.err != nil || got.status != http.StatusOK {
				t.Errorf("%s, %s: status %d, errors %v, %v, body %q", kind.name, path, got.status, err, got.err, got.body)
			}
		}
	}
}
