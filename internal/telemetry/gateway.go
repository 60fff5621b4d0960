package telemetry

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The metrics of gateways and sidecars, and the count of dropped log lines.
var (
	answers             = expvar.NewMap("lovage_answers")           // requests by route and outcome
	admissionRejections = expvar.NewMap("lovage_turned_away")       // requests that a sidecar did not admit, by reason
	admissionsByRank    = expvar.NewMap("lovage_admitted_by_rank")  // requests that a sidecar admitted, by rank and whether they waited
	rankedReturns       = expvar.NewMap("lovage_returns_by_rank")   // refused callers that a gateway told when to return by a forecast, by rank
	stoppedCallers      = expvar.NewInt("lovage_callers_stopped")   // callers that were given up because they did not read their answer
	endedAttempts       = expvar.NewMap("lovage_ended_attempts")    // attempts without a whole answer, by who or what ended them
	silentEndpoints     = expvar.NewMap("lovage_silent_endpoints")  // silences of endpoints that another could take over from, by what followed
	answerFramings      = expvar.NewMap("lovage_answer_framing")    // answers of endpoints, by how their end is marked
	loadReports         = expvar.NewMap("lovage_load_reports")      // stated loads, by the use that was made of them
	picks               = expvar.NewMap("lovage_picks")             // endpoints that were picked, by region
	errorShares         = expvar.NewMap("lovage_error_shares")      // times that endpoints failed too large a share of requests, by service
	quarantinedParts    = expvar.NewInt("lovage_quarantined_parts") // parts of prompts that are quarantined now
	relayedReads        = expvar.NewInt("lovage_relayed_reads")     // reads of the store that followers made for this process
	archivedCrashes     = expvar.NewMap("lovage_archived_crashes")  // reads and writes of the archive, by outcome
	versionRefusals     = expvar.NewMap("lovage_version_refusals")  // requests refused for want of a version, by why it is not served
	engineVersions      = expvar.NewMap("lovage_engine_versions")   // of a sidecar's engine: served and requested version, and how long it has been behind
	logDropped          = expvar.NewInt("lovage_log_dropped")
	latencies           = newHistograms()
)

func init() { expvar.Publish("lovage_latency_ms", expvar.Func(latencies.summarize)) }

// RequestAnswered counts a request by its route and outcome. It records the latency until the answer or, for a stream, until the
// first event.
func RequestAnswered(route, outcome string, latency time.Duration) {
	answers.Add(route+"/"+outcome, 1)
	latencies.record(route, latency)
}

// AdmissionRejected counts a request that a sidecar did not admit, by the reason.
func AdmissionRejected(reason string) { admissionRejections.Add(reason, 1) }

// RankedAdmitted counts a request that a sidecar admitted, by rank and whether it waited for its start.
func RankedAdmitted(rank int, waited bool) {
	outcome := "at_once"
	if waited {
		outcome = "waited"
	}
	admissionsByRank.Add(strconv.Itoa(rank)+"/"+outcome, 1)
}

// ReturnForecast counts a refused request of the rank whose caller was told to return at a time that rests on forecasts.
func ReturnForecast(rank int) { rankedReturns.Add(strconv.Itoa(rank), 1) }

// CallerStopped counts a caller that was given up because it did not read its answer.
func CallerStopped() { stoppedCallers.Add(1) }

// AttemptEnded counts an attempt without a whole answer by who or what ended it.
func AttemptEnded(by string) { endedAttempts.Add(by, 1) }

// EndpointSilent counts what was done about the silence of an endpoint, and who went on.
func EndpointSilent(outcome string) { silentEndpoints.Add(outcome, 1) }

// AnswerReceived counts an endpoint's answer by its framing.
func AnswerReceived(framing string) { answerFramings.Add(framing, 1) }

// RelayedRead counts a read of the store that a follower made for this process.
func RelayedRead() { relayedReads.Add(1) }

// LoadReportReceived counts a load that an endpoint or a sidecar stated, by the use that was made of it.
func LoadReportReceived(use string) { loadReports.Add(use, 1) }

// EndpointPicked counts an endpoint that a gateway picked, in its own region or in another one.
func EndpointPicked(ownRegion bool) {
	if ownRegion {
		picks.Add("own region", 1)
		return
	}
	picks.Add("other region", 1)
}

// ErrorShareExceeded counts that an endpoint of the service came to fail too large a share of its requests.
func ErrorShareExceeded(service string) { errorShares.Add(service, 1) }

// PromptQuarantined counts a part of a prompt that is quarantined, or one whose quarantine has ended.
func PromptQuarantined(quarantined bool) {
	if quarantined {
		quarantinedParts.Add(1)
		return
	}
	quarantinedParts.Add(-1)
}

// VersionRefused counts a request that was refused at a process because the engine does not serve the version that it needs.
func VersionRefused(cause string) { versionRefusals.Add(cause, 1) }

// EngineVersions publishes the version that a sidecar's engine has loaded (0 if it has none or is not reached), the newest requested
// one, and for how long a newer version than the loaded one has been requested.
func EngineVersions(loaded, requested int64, behind time.Duration) {
	for name, value := range map[string]int64{"loaded": loaded, "requested": requested, "behind_ms": behind.Milliseconds()} {
		gauge := new(expvar.Int)
		gauge.Set(value)
		engineVersions.Set(name, gauge)
	}
}

// CrashesArchived counts a read or write of the archive of crashes by its outcome.
func CrashesArchived(outcome string) { archivedCrashes.Add(outcome, 1) }

const (
	maxLatencyMs             = 60_000 // higher latencies are recorded as this value
	latencySignificantDigits = 2
)

// histograms holds a latency histogram in milliseconds for each name.
type histograms struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

func newHistograms() *histograms {
	return &histograms{byName: make(map[string]*hdrhistogram.Histogram)}
}

// record adds a duration to the histogram of that name, which it creates if necessary.
func (h *histograms) record(name string, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram := h.byName[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatencyMs, latencySignificantDigits)
		h.byName[name] = histogram
	}
	_ = histogram.RecordValue(min(maxLatencyMs, max(1, duration.Milliseconds()))) // the value is within the range, so that this cannot fail
}

// latencySummary is the count and the percentiles, in milliseconds, that are published for a histogram.
type latencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
}

// summarize returns a map from each histogram's name to its latencySummary.
func (h *histograms) summarize() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	summaries := make(map[string]latencySummary, len(h.byName))
	for name, histogram := range h.byName {
		summaries[name] = latencySummary{histogram.TotalCount(), histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(95), histogram.ValueAtQuantile(99)}
	}
	return summaries
}

// ServeMetrics writes all metrics whose names begin with MetricPrefix as one JSON object.
func ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics := make(map[string]json.RawMessage)
	expvar.Do(func(entry expvar.KeyValue) {
		if len(entry.Key) > len(MetricPrefix) && entry.Key[:len(MetricPrefix)] == MetricPrefix {
			metrics[entry.Key] = json.RawMessage(entry.Value.String())
		}
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(metrics) // a write error means that the client has disconnected
}
