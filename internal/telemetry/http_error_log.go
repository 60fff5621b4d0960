package telemetry

import (
	stdlog "log"
	"strings"

	"github.com/phuslu/log"
)

// maxStackBytes bounds the stack in a log line. The frames of the handler come first.
const maxStackBytes = 8 << 10

// NewHTTPErrorLog returns the ErrorLog of an http.Server. Each error becomes an error line of the logger; that of a handler that
// panicked holds its stack.
func NewHTTPErrorLog(logger *log.Logger) *stdlog.Logger {
	return stdlog.New(httpErrorWriter{logger}, "", 0)
}

// httpErrorWriter logs what an http.Server reports. Each write is one error, with the stack of a panic from its second line on.
type httpErrorWriter struct{ logger *log.Logger }

// Write implements io.Writer.
func (w httpErrorWriter) Write(report []byte) (int, error) {
	message, stack, panicked := strings.Cut(strings.TrimSuffix(string(report), "\n"), "\n")
	entry := w.logger.Error().Str("error", message)
	if panicked {
		entry.Str("stack", stack[:min(len(stack), maxStackBytes)])
	}
	entry.Msg("HTTP server error")
	return len(report), nil
}
