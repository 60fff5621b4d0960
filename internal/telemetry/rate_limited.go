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
	// maxLogBytesPerSecond limits how much a process logs. At 100 requests per second, one line of about 300 bytes per
	// request takes about half of it, and the lines on failures take about as much again.
	maxLogBytesPerSecond = 64 << 10
	// warningReserveFraction is the fraction of the bucket that only warnings and errors may use.
	warningReserveFraction = 0.25
	// maxQueuedLines is the number of lines that may wait for a slow reader of the output. Further lines are dropped.
	maxQueuedLines = 1024
	// dropReportInterval is the minimum time between two lines that report dropped lines.
	dropReportInterval = time.Second
	// closeTimeout bounds the time for which an exit waits for the queued lines to be written. It is part of the time that a
	// process reserves for its exit within the grace period.
	closeTimeout = 200 * time.Millisecond
)

// rateLimitedWriter writes log lines from a background goroutine, limited by a token bucket of bytes. It drops and counts
// the lines that exceed the limit or find the queue full, and never blocks its callers.
type rateLimitedWriter struct {
	queue   chan []byte
	written chan struct{} // closed when all lines of a closed queue are written

	mu             sync.Mutex
	closed         bool    // the queue is closed
	availableBytes float64 // tokens in the bucket
	refilledAt     time.Time
	dropped        int // lines since the last report
	reportedAt     time.Time
	startedAt      time.Time
}

// NewRateLimitedLogger returns a logger that writes JSON lines with the host's name to standard output, at a limited rate.
// Lines that exceed the limit are dropped and counted. Part of the limit is reserved for warnings and errors. closeLog must be
// called before the process exits: it writes the lines that wait, within closeTimeout, and ends the log.
func NewRateLimitedLogger(level string, host core.HostID) (logger *log.Logger, closeLog func()) {
	logger = NewLogger(level, host)
	w := newRateLimitedWriter(os.Stdout)
	logger.Writer = w
	return logger, func() { w.close(closeTimeout) }
}

func newRateLimitedWriter(out io.Writer) *rateLimitedWriter {
	now := time.Now()
	w := &rateLimitedWriter{queue: make(chan []byte, maxQueuedLines), written: make(chan struct{}), availableBytes: maxLogBytesPerSecond, refilledAt: now, reportedAt: now, startedAt: now}
	go func() {
		defer close(w.written)
		for line := range w.queue {
			_, _ = out.Write(line) // a failed write to the log output cannot be reported anywhere
		}
	}()
	return w
}

// WriteEntry implements log.Writer. It reports success for dropped lines too.
func (w *rateLimitedWriter) WriteEntry(entry *log.Entry) (int, error) {
	now := time.Now()
	line := w.withUptime(entry.Value(), now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.allow(entry.Level, len(line), now) || !w.enqueue(line) {
		w.dropped++
	}
	if now.Sub(w.reportedAt) >= dropReportInterval {
		w.reportDropped(now)
	}
	return len(line), nil
}

// close ends the log and waits until the lines in the queue are written, but no longer than the timeout: the output may not be
// read. Later lines are dropped.
func (w *rateLimitedWriter) close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.reportDropped(time.Now())
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	select {
	case <-w.written:
	case <-time.After(timeout):
	}
}

// UptimeField is the key of the milliseconds since the logger was created, on the monotonic clock. It orders the lines of
// a process even if the wall clock jumps.
const UptimeField = "up_ms"

// withUptime returns a copy of the line with the uptime added. A copy is needed because the logger reuses the entry that
// holds the line.
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

// allow reports whether the token bucket holds enough for a line of that size in bytes, and if so takes that many tokens.
// Lines below the warning level cannot use the reserve.
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

// enqueue adds the line to the queue and reports false if the queue is full or closed.
func (w *rateLimitedWriter) enqueue(line []byte) bool {
	if w.closed {
		return false
	}
	select {
	case w.queue <- line:
		return true
	default:
		return false
	}
}

// reportDropped logs the number of lines dropped since the last report.
func (w *rateLimitedWriter) reportDropped(now time.Time) {
	if w.dropped == 0 {
		return
	}
	report := log.NewContext(nil).Str("level", "warn").Int("dropped", w.dropped).Str("message", "log lines dropped; the output is not read or the bound is reached").Value()
	line := append([]byte("{"), report[1:]...)
	if w.enqueue(append(line, '}', '\n')) {
		logDropped.Add(int64(w.dropped))
		w.dropped, w.reportedAt = 0, now
	}
}
