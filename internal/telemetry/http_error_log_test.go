package telemetry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/phuslu/log"
)

func TestPanicOfAHandlerIsOneLogLineWithItsStack(t *testing.T) {
	out := &synchronizedBuffer{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken handler") }))
	server.Config.ErrorLog = NewHTTPErrorLog(&log.Logger{Writer: &log.IOWriter{Writer: out}})
	server.Start()
	if answer, err := http.Get(server.URL); err == nil {
		_ = answer.Body.Close()
		t.Error("a handler that panicked has answered")
	}
	server.Close()
	var line struct{ Level, Message, Error, Stack string }
	if err := json.Unmarshal([]byte(out.text()), &line); err != nil {
		t.Fatalf("%v: %s", err, out.text())
	}
	if line.Level != "error" || line.Message != "HTTP server error" || !strings.Contains(line.Error, "broken handler") || !strings.Contains(line.Stack, "TestPanicOfAHandler") {
		t.Errorf("unexpected line: %+v", line)
	}
}
