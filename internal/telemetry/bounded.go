package telemetry

import (
	"bytes"
	"io"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	// logBytesPerS bounds what a process writes: at a hundred requests a second each has a line of about 300 bytes,
	// and decisions about failures have as much again.
	logBytesPerS = 64 << 10
	// logReserve of the bound is left for warnings and errors.
	logReserve = 0.25
	// logQueue is how many lines may wait while nobody reads the output. More are dropped.
	logQueue = 1024
	// logReport is between two lines that tell what was dropped.
	logReport = time.Second
)

// boundedWriter writes lines in the background, within a bound, and counts what it drops. It never blocks its callers.
type boundedWriter struct {
	lines chan []byte

	mu      sync.Mutex
	budget  float64 // bytes
	at      time.Time
	dropped int
	told    time.Time
	start   time.Time
}

// NewBoundedLogger returns a logger of JSON lines with the host's name on standard output. Lines beyond the bound are
// dropped and counted, those of the lowest levels first.
func NewBoundedLogger(level string, host core.HostID) *log.Logger {
	logger := NewLogger(level, host)
	logger.Writer = newBoundedWriter(os.Stdout)
	return logger
}

func newBoundedWriter(out io.Writer) *boundedWriter {
	now := time.Now()
	w := &boundedWriter{lines: make(chan []byte, logQueue), budget: logBytesPerS, at: now, told: now, start: now}
	go func() {
		for line := range w.lines {
			_, _ = out.Write(line) // nobody is left to be told that the output is gone
		}
	}()
	return w
}

// WriteEntry implements log.Writer.
func (w *boundedWriter) WriteEntry(entry *log.Entry) (int, error) {
	now := time.Now()
	line := w.stamped(entry.Value(), now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(entry.Level, len(line), now) || !w.enqueue(line) {
		w.dropped++
	}
	w.tell(now)
	return len(line), nil
}

// UptimeField holds the milliseconds since the process's start on its steady clock: the order of a process's lines, also
// when the time of day steps.
const UptimeField = "up_ms"

// stamped returns a copy of the line with the time since the start. The entry that holds the line is reused.
func (w *boundedWriter) stamped(line []byte, now time.Time) []byte {
	end := bytes.LastIndexByte(line, '}')
	if end < 0 {
		return bytes.Clone(line)
	}
	stamped := make([]byte, 0, len(line)+len(UptimeField)+20)
	stamped = append(stamped, line[:end]...)
	stamped = append(stamped, `,"`+UptimeField+`":`...)
	stamped = strconv.AppendInt(stamped, now.Sub(w.start).Milliseconds(), 10)
	return append(stamped, line[end:]...)
}

// admit charges the line to the budget.
func (w *boundedWriter) admit(level log.Level, bytes int, now time.Time) bool {
	w.budget = min(logBytesPerS, w.budget+logBytesPerS*now.Sub(w.at).Seconds())
	w.at = now
	floor := 0.0
	if level < log.WarnLevel {
		floor = logReserve * logBytesPerS
	}
	if w.budget-float64(bytes) < floor {
		return false
	}
	w.budget -= float64(bytes)
	return true
}

func (w *boundedWriter) enqueue(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// tell writes how many lines were dropped, at most once an interval.
func (w *boundedWriter) tell(now time.Time) {
	if w.dropped == 0 || now.Sub(w.told) < logReport {
		return
	}
	report := log.NewContext(nil).Str("level", "warn").Int("dropped", w.dropped).Str("message", "log lines dropped; the output is not read or the bound is reached").Value()
	line := append([]byte("{"), report[1:]...)
	if w.enqueue(append(line, '}', '\n')) {
		logDropped.Add(int64(w.dropped))
		w.dropped, w.told = 0, now
	}
}
