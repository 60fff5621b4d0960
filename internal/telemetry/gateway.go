package telemetry

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The metrics of gateways and sidecars.
var (
	answers    = expvar.NewMap("lovage_answers")     // requests by route and outcome
	turnedAway = expvar.NewMap("lovage_turned_away") // requests that a sidecar did not let in, by reason
	logDropped = expvar.NewInt("lovage_log_dropped")
	latencies  = newHistograms()
)

func init() { expvar.Publish("lovage_latency_ms", expvar.Func(latencies.show)) }

// Answered counts a request by its route and outcome, and the time until its answer or its stream's first event.
func Answered(route, outcome string, took time.Duration) {
	answers.Add(route+"/"+outcome, 1)
	latencies.record(route, took)
}

// TurnedAway counts a request that a sidecar did not let in.
func TurnedAway(reason string) { turnedAway.Add(reason, 1) }

const (
	longestLatencyMs = 60_000 // longer ones count as this
	latencyDigits    = 2
)

// histograms holds one histogram of milliseconds a name.
type histograms struct {
	mu    sync.Mutex
	known map[string]*hdrhistogram.Histogram
}

func newHistograms() *histograms {
	return &histograms{known: make(map[string]*hdrhistogram.Histogram)}
}

func (h *histograms) record(name string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram := h.known[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, longestLatencyMs, latencyDigits)
		h.known[name] = histogram
	}
	_ = histogram.RecordValue(min(longestLatencyMs, max(1, took.Milliseconds()))) // within its range
}

// latency is what is shown of a histogram.
type latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
}

func (h *histograms) show() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	shown := make(map[string]latency, len(h.known))
	for name, histogram := range h.known {
		shown[name] = latency{histogram.TotalCount(), histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(95), histogram.ValueAtQuantile(99)}
	}
	return shown
}

// ServeMetrics answers with all metrics as a JSON object.
func ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	shown := make(map[string]json.RawMessage)
	expvar.Do(func(entry expvar.KeyValue) {
		if len(entry.Key) > len(MetricPrefix) && entry.Key[:len(MetricPrefix)] == MetricPrefix {
			shown[entry.Key] = json.RawMessage(entry.Value.String())
		}
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(shown) // a reader that has gone needs no answer
}
