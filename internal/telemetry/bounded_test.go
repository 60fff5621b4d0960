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

// lockedBuffer is written in the background and read by the test.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// TestNothingWaitsForAnOutputThatNobodyReads fills a pipe: the test ends only if no line blocks.
func TestNothingWaitsForAnOutputThatNobodyReads(t *testing.T) {
	_, stuck := io.Pipe()
	w := newBoundedWriter(stuck)
	logger := log.Logger{Writer: w}
	for range 10 * logQueue {
		logger.Warn().Msg("a line")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dropped == 0 {
		t.Error("no line was dropped")
	}
}

func TestFailuresGoBeforeSuccessesWithinTheBound(t *testing.T) {
	out := &lockedBuffer{}
	w := newBoundedWriter(out)
	logger := log.Logger{Writer: w}
	for range 2 * logBytesPerS / 100 {
		logger.Info().Str("text", strings.Repeat("x", 100)).Msg("success")
	}
	logger.Error().Msg("failure")
	w.mu.Lock()
	w.told = time.Now().Add(-2 * logReport)
	w.mu.Unlock()
	logger.Error().Msg("failure")
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(out.text(), "dropped"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("nothing tells of dropped lines")
		}
	}
	text := out.text()
	if strings.Count(text, "failure") != 2 || len(text) > logBytesPerS+1000 {
		t.Errorf("%d failures in %d bytes", strings.Count(text, "failure"), len(text))
	}
	for line := range strings.Lines(text) {
		if !json.Valid([]byte(line)) {
			t.Fatalf("not JSON: %s", line)
		}
	}
}

func TestMetricsOfGatewaysAreServed(t *testing.T) {
	Answered("r", "answered", 150*time.Millisecond)
	TurnedAway("no room")
	recorder := httptest.NewRecorder()
	ServeMetrics(recorder, nil)
	var shown struct {
		Answers    map[string]int     `json:"lovage_answers"`
		TurnedAway map[string]int     `json:"lovage_turned_away"`
		Latency    map[string]latency `json:"lovage_latency_ms"`
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &shown); err != nil {
		t.Fatal(err)
	}
	if shown.Answers["r/answered"] < 1 || shown.TurnedAway["no room"] < 1 || shown.Latency["r"].P50 < 149 {
		t.Errorf("%+v", shown)
	}
}
