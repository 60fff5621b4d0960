package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/graceful"
)

// endReasons is a log writer that takes the reasons out of the lines.
type endReasons chan string

// WriteEntry implements log.Writer.
func (e endReasons) WriteEntry(entry *log.Entry) (int, error) {
	raw := entry.Value()
	var line struct {
		EndedBy string `json:"ended_by"`
	}
	err := json.Unmarshal(raw, &line)
	if line.EndedBy != "" {
		e <- line.EndedBy
	}
	return len(raw), err
}

func (e endReasons) require(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-e:
		if got != want {
			t.Errorf("ended by %q, want %q", got, want)
		}
	case <-time.After(testTimeout):
		t.Errorf("no line tells that the answer was ended by %q", want)
	}
}

// timedCodec gives each call a timeout.
type timedCodec struct {
	passThroughCodec
	timeout time.Duration
}

func (c timedCodec) DecodeForwarded(r *http.Request) (*call.Call, error) {
	decoded, err := c.passThroughCodec.DecodeForwarded(r)
	decoded.Timeout = c.timeout
	return decoded, err
}

func TestLogTellsWhoEndedAnAnswer(t *testing.T) {
	for _, test := range []struct {
		want    string
		timeout time.Duration // of the call
		end     func(s *Sidecar, server *graceful.Server, leave func(), engine net.Conn)
	}{
		{endedByEngine, time.Minute, func(_ *Sidecar, _ *graceful.Server, _ func(), engine net.Conn) { _ = engine.Close() }},
		{endedByGateway, time.Minute, func(_ *Sidecar, _ *graceful.Server, leave func(), _ net.Conn) { leave() }},
		{endedByTimeout, time.Millisecond, func(_ *Sidecar, _ *graceful.Server, leave func(), _ net.Conn) { leave() }},
		{endedByGracePeriod, time.Minute, func(s *Sidecar, server *graceful.Server, _ func(), _ net.Conn) { s.drain(server) }},
	} {
		t.Run(test.want, func(t *testing.T) {
			running := make(chan net.Conn, 1)
			address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				conn, buffered, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_ = buffered.Flush()
				running <- conn
			})
			reasons := make(endReasons, 10)
			s := newSidecarWithLogger(t, &fakeEngine{staged: make(map[int][]byte), corruptChunk: -1, version: 1}, &fakeOrigin{}, &fakeSource{}, address, &log.Logger{Level: log.InfoLevel, Writer: reasons})
			s.codec = timedCodec{timeout: test.timeout}
			waitFor(t, "the gate to open", func() bool { return s.servingVersion.Load() == 1 && s.gate.Load().Limit == 2 })
			listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			server := graceful.NewServer(s.relayServer(), listener)
			go func() { _ = server.Serve() }()
			defer server.Close()
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String()+"/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				if answer, err := http.DefaultClient.Do(request); err == nil {
					_, _ = io.Copy(io.Discard, answer.Body)
					_ = answer.Body.Close()
				}
			}()
			engine := <-running
			defer engine.Close()
			test.end(s, server, leave, engine)
			reasons.require(t, test.want)
		})
	}
}
