// Package telemetry sets up the daemons' JSON-line logs and their expvar metrics.
package telemetry

import (
	"os"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/core"
)

// ParseLevel returns the log level of that name. An empty name means info.
func ParseLevel(name string) log.Level {
	if name == "" {
		return log.InfoLevel
	}
	return log.ParseLevel(name)
}

// NewLogger returns a logger that writes JSON lines with the host's name to standard error.
func NewLogger(level string, host core.HostID) *log.Logger {
	return &log.Logger{
		Level:   ParseLevel(level),
		Writer:  &log.IOWriter{Writer: os.Stderr},
		Context: log.NewContext(nil).Str("host", string(host)).Value(),
	}
}
