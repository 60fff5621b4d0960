package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// answerOnce makes the engine answer with the text, after a sound answer on the same connection if reused is set. It returns the number
// of requests answered so.
func answerOnce(engine *rawEngine, text func(request *http.Request) string, reused bool) *atomic.Int64 {
	var sound, unsound atomic.Int64
	engine.setServe(func(conn net.Conn, request *http.Request) bool {
		if reused && sound.Add(1) == 1 {
			writeSound(conn, request)
			return true
		}
		unsound.Add(1)
		_, _ = io.WriteString(conn, text(request))
		return false
	})
	return &unsound
}

func forModel(request *http.Request) {
	request.Header.Set(platformtest.HeaderModel, "m")
	request.Header.Set(platformtest.HeaderTokens, "10,10")
}

func isAtMostOnce(path string) bool { return strings.Contains(path, "once") }

// checkNoAnswer sends a call on each route, and a HEAD, which the engine answers with the text. None must get an answer of the engine.
func checkNoAnswer(t *testing.T, fx *fixture, engine *rawEngine, name string, text func(request *http.Request) string) {
	t.Helper()
	for _, path := range allPaths {
		for _, reused := range []bool{false, true} {
			for _, method := range []string{http.MethodPost, http.MethodHead} {
				count := answerOnce(engine, text, reused)
				if reused {
					fx.mustCall(path, forModel)
				}
				got, err := fx.tryCall(t.Context(), path, func(request *http.Request) {
					forModel(request)
					if method == http.MethodHead {
						asHead(request)
					}
				})
				if err == nil && got.err == nil && (got.status < http.StatusMultipleChoices || got.header.Get(platformtest.HeaderSignature) != "") {
					t.Errorf("%s, %s %s, reused %v: status %d, header %v, body %q", name, method, path, reused, got.status, got.header, got.body)
				}
				if isAtMostOnce(path) && count.Load() != 1 {
					t.Errorf("%s, %s %s, reused %v: sent %d times", name, method, path, reused, count.Load())
				}
			}
		}
	}
}

func TestAnswerWithoutASoundStatusReachesNoCaller(t *testing.T) {
	fx, engines := newSidecarFixture(t, 1)
	fx.registerPlain(engines[0])
	for _, status := range []string{"000", "099", "101", "600"} {
		for _, after := range []bool{false, true} {
			checkNoAnswer(t, fx, engines[0], "status "+status, func(request *http.Request) string {
				answer := strings.Replace(rawHead(request, http.StatusOK, "Content-Length: 2"), "200", status, 1)
				if request.Method != http.MethodHead {
					answer += "ok"
				}
				if after {
					answer += rawHead(request, http.StatusOK, "Content-Length: 2") + "ok"
				}
				return answer
			})
		}
	}
}

func TestAnswerWithALineThatIsNoFieldReachesNoCaller(t *testing.T) {
	fx, engines := newSidecarFixture(t, 1)
	fx.registerPlain(engines[0])
	whole := eventsText(1)
	length := fmt.Sprintf("Content-Length: %d", len(whole))
	for _, test := range []struct {
		name, body string
		lines      []string
	}{
		{"a blank in a name", whole, []string{"A B: c", length}},
		{"a blank after Content-Length", whole + "more", []string{fmt.Sprintf("Content-Length : %d", len(whole))}},
		{"a blank after Transfer-Encoding", chunk(whole) + lastChunk, []string{"Transfer-Encoding : chunked"}},
		{"a control byte in a name", whole, []string{"A\x01B: c", length}},
		{"NUL in a name", whole, []string{"A\x00: c", length}},
		{"no name", whole, []string{": c", length}},
		{"NUL in a value", whole, []string{"A: b\x00c", length}},
		{"a carriage return in a value", whole, []string{"A: b\rC: d", length}},
		{"a blank in a name of the trailer section", chunk(whole) + "0\r\nA B: c\r\n\r\n", []string{lineChunked}},
	} {
		checkNoAnswer(t, fx, engines[0], test.name, func(request *http.Request) string {
			head := rawHead(request, http.StatusOK, append(test.lines, lineEvents)...)
			if request.Method == http.MethodHead {
				if strings.Contains(test.body, "A B") {
					return head[:len(head)-len("\r\n")] + "A B: c\r\n\r\n" // an answer to HEAD has no trailer section
				}
				return head
			}
			return head + test.body
		})
	}
	for _, interim := range []string{"HTTP/1.1 103 x\r\nA B: c\r\n\r\n", "HTTP/1.1 103 x\r\nContent-Length : 2\r\n\r\n"} {
		checkNoAnswer(t, fx, engines[0], "an interim response", func(request *http.Request) string {
			answer := interim + rawHead(request, http.StatusOK, lineEvents, length)
			if request.Method != http.MethodHead {
				answer += whole
			}
			return answer
		})
	}
}
