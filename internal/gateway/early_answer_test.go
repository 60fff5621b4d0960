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

const longBodyBytes = 4 << 20

// newLongBodyFixture returns a fixture with one engine, which is a plain endpoint, too, and answers before it reads the body of a
// request. Bodies may have longBodyBytes.
func newLongBodyFixture(t *testing.T) (*fixture, *rawEngine) {
	t.Helper()
	fx, engines := newSidecarFixture(t, 1)
	fx.registerPlain(engines[0])
	fx.putEngineConfiguration(10, longBodyBytes)
	fx.waitFor("the limit of bodies", func() bool { return fx.gateway.follower.View().Configuration.Version == 10 })
	engines[0].answerEarly()
	return fx, engines[0]
}

// callWithBody sends a call for the model with a body of the size.
func (fx *fixture) callWithBody(path, id string, size int) (callResult, error) {
	return fx.tryCall(fx.t.Context(), path, func(request *http.Request) {
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), int64(size)
		request.Header.Set(platformtest.HeaderAttempt, id)
		request.Header.Set(platformtest.HeaderModel, "m")
		request.Header.Set(platformtest.HeaderTokens, "10,10")
	})
}

var allPaths = []string{pathIdempotent, pathAtMostOnce, pathStream, pathStreamOnce, pathEngineSafe, pathEngineOnce, pathEngineStream, pathEngineStreamOnce}

// An endpoint that answers at once without a length and resets the connection beside the upload has not finished its answer.
func TestUnframedAnswerThatIsResetBesideTheUploadIsBroken(t *testing.T) {
	fx, engine := newLongBodyFixture(t)
	for _, path := range allPaths {
		for _, size := range []int{1_000_000, longBodyBytes} {
			for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
				var served atomic.Int64
				engine.setServe(func(conn net.Conn, request *http.Request) bool {
					served.Add(1)
					head, body := rawHead(request, http.StatusOK), "part of the answer"
					if strings.Contains(path, "stream") {
						head, body = rawHead(request, http.StatusOK, lineEvents), eventsText(2)
					}
					_, _ = io.WriteString(conn, head+body)
					time.Sleep(pause)
					_ = conn.(*net.TCPConn).SetLinger(0)
					return false
				})
				id := fmt.Sprintf("%s-%d-%v", strings.Trim(path, "/1"), size, pause)
				got, err := fx.callWithBody(path, id, size)
				if err == nil && got.err == nil && got.status < http.StatusMultipleChoices {
					t.Errorf("%s, %d bytes, reset after %v: status %d, body %q", path, size, pause, got.status, got.body)
				}
				once := path == pathAtMostOnce || path == pathEngineOnce || path == pathStreamOnce || path == pathEngineStreamOnce
				if once && served.Load() != 1 {
					t.Errorf("%s, %d bytes, reset after %v: sent %d times", path, size, pause, served.Load())
				}
			}
		}
	}
}

// An answer with a length or chunks says itself where it ends, so it is whole whatever becomes of the upload.
func TestFramedAnswerBeforeTheUploadIsReadReachesTheCaller(t *testing.T) {
	fx, engine := newLongBodyFixture(t)
	for _, path := range []string{pathIdempotent, pathAtMostOnce, pathEngineSafe, pathEngineOnce} {
		for _, framing := range []string{"Content-Length: 12", lineChunked} {
			release := make(chan struct{}, 1)
			engine.setServe(func(conn net.Conn, request *http.Request) bool {
				body := "whole answer"
				if framing == lineChunked {
					body = chunk(body) + lastChunk
				}
				_, _ = io.WriteString(conn, rawHead(request, http.StatusOK, framing)+body)
				<-release // a reset may discard what has not been read
				return false
			})
			got, err := fx.callWithBody(path, "framed", 1_000_000)
			release <- struct{}{}
			if err != nil || got.err != nil || got.status != http.StatusOK || got.body != "whole answer" {
				t.Errorf("%s, %s: status %d, errors %v, %v, body %q", path, framing, got.status, err, got.err, got.body)
			}
		}
	}
}

// An unframed answer after the upload ends with its connection.
func TestUnframedAnswerAfterTheUploadReachesTheCaller(t *testing.T) {
	fx, engine := newLongBodyFixture(t)
	engine.setServe(func(conn net.Conn, request *http.Request) bool {
		if _, err := io.Copy(io.Discard, request.Body); err == nil {
			_, _ = io.WriteString(conn, rawHead(request, http.StatusOK)+"whole answer")
		}
		return false
	})
	for _, path := range []string{pathIdempotent, pathAtMostOnce, pathEngineSafe, pathEngineOnce} {
		for _, size := range []int{100, 100_000, longBodyBytes} {
			got, err := fx.callWithBody(path, "unframed", size)
			if err != nil || got.err != nil || got.status != http.StatusOK || got.body != "whole answer" {
				t.Errorf("%s, %d bytes: status %d, errors %v, %v, body %q", path, size, got.status, err, got.err, got.body)
			}
		}
	}
}
