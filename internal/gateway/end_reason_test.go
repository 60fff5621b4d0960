package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// endReasons is a log writer that takes the reasons out of the lines about attempts.
type endReasons chan string

// WriteEntry implements log.Writer.
func (e endReasons) WriteEntry(entry *log.Entry) (int, error) {
	var line struct {
		Message string `json:"message"`
		EndedBy string `json:"ended_by"`
	}
	raw := entry.Value()
	err := json.Unmarshal(raw, &line)
	if line.Message == "answer broken off" || line.Message == "endpoint gave no answer" {
		e <- line.EndedBy
	}
	return len(raw), err
}

func TestLogTellsWhoEndedAnAnswer(t *testing.T) {
	hang := func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
		r.SendEvents(w, run, 1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = conn.Read(make([]byte, 1)) // until the gateway closes the connection
	}
	for _, test := range []struct {
		want    string
		path    string
		handler func(*platformtest.Runner, http.ResponseWriter, platformtest.Run)
		change  func(*http.Request)
		leaves  bool
	}{
		{"endpoint", pathStreamOnce, func(r *platformtest.Runner, w http.ResponseWriter, run platformtest.Run) {
			r.SendEvents(w, run, 1)
			platformtest.AbortConnection()
		}, nil, false},
		{"route's timeout", pathShortTimeout, hang, nil, false},
		{"caller's timeout", pathStreamOnce, hang, func(request *http.Request) { request.Header.Set(platformtest.HeaderDeadline, "300") }, false},
		{"caller left", pathStreamOnce, hang, nil, true},
	} {
		fx := newFixture(t)
		reasons := make(endReasons, 10)
		fx.gateway.logger = &log.Logger{Level: log.InfoLevel, Writer: reasons}
		r := fx.startBackend("r1", "e")
		r.SetHandler(func(w http.ResponseWriter, run platformtest.Run) { test.handler(r, w, run) })
		ctx, leave := context.WithCancel(t.Context())
		if test.leaves {
			time.AfterFunc(300*time.Millisecond, leave)
		}
		_, _ = fx.tryCall(ctx, test.path, test.change)
		leave()
		select {
		case got := <-reasons:
			if got != test.want {
				t.Errorf("ended by %q, want %q", got, test.want)
			}
		case <-time.After(testTimeout):
			t.Errorf("no line tells that the attempt was ended by %q", test.want)
		}
	}
}
