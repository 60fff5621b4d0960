package graceful

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/phuslu/log"
)

func TestStopLogsTheRequestsThatItEnds(t *testing.T) {
	var open OpenRequests
	var lines bytes.Buffer
	logger := &log.Logger{Writer: &log.IOWriter{Writer: &lines}}
	running := make(chan struct{})
	s, address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		defer open.Add("r-1")()
		close(running)
		<-r.Context().Done()
		logger.Info().Msg("handler ended")
	})
	go func() { _ = s.Serve() }()
	open.Add("r-0")() // was answered
	send(t, connect(t, address))
	<-running
	expired, stop := context.WithCancel(context.Background())
	stop()
	open.CloseExpired(s, s.Shutdown(expired), logger)
	text := lines.String()
	for _, want := range []string{`"requests":1`, `"request":"r-1"`, "handler ended"} {
		if !strings.Contains(text, want) {
			t.Errorf("the log lacks %s", want)
		}
	}
	if strings.Contains(text, "r-0") {
		t.Error("the log names a request that was answered")
	}
}
