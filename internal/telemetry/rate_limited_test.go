package telemetry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
)

// synchronizedBuffer is a buffer that a background goroutine writes while the test reads it.
type synchronizedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *synchronizedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *synchronizedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// TestWriterNeverBlocksOnUnreadOutput logs more lines than the queue holds to a pipe that is never read. A writer that
// blocks its callers would hang the test.
func TestWriterNeverBlocksOnUnreadOutput(t *testing.T) {
	_, unreadPipe := io.Pipe()
	w := newRateLimitedWriter(unreadPipe)
	logger := log.Logger{Writer: w}
	for range 10 * maxQueuedLines {
		logger.Warn().Msg("a line")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dropped == 0 {
		t.Error("no line was dropped")
	}
}

// TestErrorsHavePriorityUnderRateLimit checks that errors are written after info lines have used up their share of the
// limit, and that the dropped lines are reported.
func TestErrorsHavePriorityUnderRateLimit(t *testing.T) {
	out := &synchronizedBuffer{}
	w := newRateLimitedWriter(out)
	logger := log.Logger{Writer: w}
	for range 2 * maxLogBytesPerSecond / 100 {
		logger.Info().Str("text", strings.Repeat("x", 100)).Msg("success")
	}
	logger.Error().Msg("failure")
	w.mu.Lock()
	w.reportedAt = time.Now().Add(-2 * dropReportInterval)
	w.mu.Unlock()
	logger.Error().Msg("failure")
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(out.text(), "dropped"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("dropped lines were not reported")
		}
	}
	text := out.text()
	if strings.Count(text, "failure") != 2 || len(text) > maxLogBytesPerSecond+1000 {
		t.Errorf("wrote %d error lines in %d bytes", strings.Count(text, "failure"), len(text))
	}
	for line := range strings.Lines(text) {
		if !json.Valid([]byte(line)) {
			t.Fatalf("line is not valid JSON: %s", line)
		}
	}
}

func TestGatewayMetricsAreServed(t *testing.T) {
	RequestAnswered("r", "answered", 150*time.Millisecond)
	AdmissionRejected("no room")
	AnswerReceived("chunks")
	LoadReportReceived("engine")
	EndpointPicked(false)
	recorder := httptest.NewRecorder()
	ServeMetrics(recorder, nil)
	var metrics struct {
		Answers    map[string]int            `json:"lovage_answers"`
		TurnedAway map[string]int            `json:"lovage_turned_away"`
		Framing    map[string]int            `json:"lovage_answer_framing"`
		Loads      map[string]int            `json:"lovage_load_reports"`
		Picks      map[string]int            `json:"lovage_picks"`
		Latency    map[string]latencySummary `json:"lovage_latency_ms"`
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &metrics); err != nil {
		t.Fatal(err)
	}
	if metrics.Answers["r/answered"] < 1 || metrics.TurnedAway["no room"] < 1 || metrics.Framing["chunks"] < 1 || metrics.Loads["engine"] < 1 || metrics.Picks["other region"] < 1 || metrics.Latency["r"].P50 < 149 {
		t.Errorf("unexpected metrics: %+v", metrics)
	}
}

// A process exits as soon as its last line is logged.
func TestCloseWritesTheLinesThatWait(t *testing.T) {
	out := &synchronizedBuffer{}
	w := newRateLimitedWriter(out)
	logger := log.Logger{Writer: w}
	const lines = 100
	for range lines {
		logger.Info().Msg("a line")
	}
	w.mu.Lock()
	w.dropped = 3
	w.mu.Unlock()
	w.close(time.Minute)
	logger.Info().Msg("after the end")
	text := out.text()
	if strings.Count(text, "a line") != lines || !strings.Contains(text, `"dropped":3`) || strings.Contains(text, "after the end") {
		t.Errorf("wrote %d of %d lines: %s", strings.Count(text, "a line"), lines, text)
	}
}

// The exit of a process must not wait for a reader of its output.
func TestCloseEndsWithUnreadOutput(t *testing.T) {
	_, unreadPipe := io.Pipe()
	w := newRateLimitedWriter(unreadPipe)
	logger := log.Logger{Writer: w}
	for range 2 * maxQueuedLines {
		logger.Warn().Msg("a line")
	}
	w.close(time.Millisecond)
}
