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
	// maxLogBytesPerSecond bounds what a process writes: at a hundred requests a second each has a line of about 300 bytes,
	// and decisions about failures have as much again.
	maxLogBytesPerSecond = 64 << 10
	// warningReserveFraction of the bound is left for warnings and errors.
	warningReserveFraction = 0.25
	// maxQueuedLines is how many lines may wait while nobody reads the output. More are dropped.
	maxQueuedLines = 1024
	// dropReportInterval is between two lines that tell what was dropped.
	dropReportInterval = time.Second
)

// rateLimitedWriter writes lines in the background, within a bound, and counts what it drops. It never blocks its callers.
type rateLimitedWriter struct {
	queue chan []byte

	mu             sync.Mutex
	availableBytes float64 // bytes
	refilledAt     time.Time
	dropped        int
	reportedAt     time.Time
	startedAt      time.Time
}

// NewBoundedLogger returns a logger of JSON lines with the host's name on standard output. Lines beyond the bound are
// dropped and counted, those of the lowest levels first.
func NewBoundedLogger(level string, host core.HostID) *log.Logger {
	logger := NewLogger(level, host)
	logger.Writer = newRateLimitedWriter(os.Stdout)
	return logger
}

func newRateLimitedWriter(out io.Writer) *rateLimitedWriter {
	now := time.Now()
	w := &rateLimitedWriter{queue: make(chan []byte, maxQueuedLines), availableBytes: maxLogBytesPerSecond, refilledAt: now, reportedAt: now, startedAt: now}
	go func() {
		for line := range w.queue {
			_, _ = out.Write(line) // nobody is left to be told that the output is gone
		}
	}()
	return w
}

// WriteEntry implements log.Writer.
func (w *rateLimitedWriter) WriteEntry(entry *log.Entry) (int, error) {
	now := time.Now()
	line := w.withUptime(entry.Value(), now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.allow(entry.Level, len(line), now) || !w.enqueue(line) {
		w.dropped++
	}
	w.reportDropped(now)
	return len(line), nil
}

// UptimeField holds the milliseconds since the process's start on its steady clock: the order of a process's lines, also
// when the time of day steps.
const UptimeField = "up_ms"

// withUptime returns a copy of the line with the time since the start. The entry that holds the line is reused.
func (w *rateLimitedWriter) withUptime(line []byte, now time.Time) []byte {
	closingBrace := bytes.LastIndexByte(line, '}')
	if closingBrace < 0 {
		return bytes.Clone(line)
	}
	result := make([]byte, 0, len(line)+len(UptimeField)+20)
	result = append(result, line[:closingBrace]...)
	result = append(result, `,"`+UptimeField+`":`...)
	result = strconv.AppendInt(result, now.Sub(w.startedAt).Milliseconds(), 10)
	return append(result, line[closingBrace:]...)
}

// allow charges the line to the budget.
func (w *rateLimitedWriter) allow(level log.Level, size int, now time.Time) bool {
	w.availableBytes = min(maxLogBytesPerSecond, w.availableBytes+maxLogBytesPerSecond*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
	reserve := 0.0
	if level < log.WarnLevel {
		reserve = warningReserveFraction * maxLogBytesPerSecond
	}
	if w.availableBytes-float64(size) < reserve {
		return false
	}
	w.availableBytes -= float64(size)
	return true
}

func (w *rateLimitedWriter) enqueue(line []byte) bool {
	select {
	case w.queue <- line:
		return true
	default:
		return false
	}
}

// reportDropped writes how many lines were dropped, at most once an interval.
func (w *rateLimitedWriter) reportDropped(now time.Time) {
	if w.dropped == 0 || now.Sub(w.reportedAt) < dropReportInterval {
		return
	}
	report := log.NewContext(nil).Str("level", "warn").Int("dropped", w.dropped).Str("message", "log lines dropped; the output is not read or the bound is reached").Value()
	line := append([]byte("{"), report[1:]...)
	if w.enqueue(append(line, '}', '\n')) {
		logDropped.Add(int64(w.dropped))
		w.dropped, w.reportedAt = 0, now
	}
}
