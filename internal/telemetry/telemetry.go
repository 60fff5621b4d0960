// Package telemetry sets up the daemons' JSON-line logs and their expvar metrics.
package telemetry

import (
	"os"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/core"
)

// NewLogger returns a logger that writes JSON lines with the host's name to standard error.
func NewLogger(level string, host core.HostID) *log.Logger {
	if level == "" {
		level = "info"
	}
	return &log.Logger{
		Level:   log.ParseLevel(level),
		Writer:  &log.IOWriter{Writer: os.Stderr},
		Context: log.NewContext(nil).Str("host", string(host)).Value(),
	}
}
