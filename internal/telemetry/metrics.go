package telemetry

import (
	"expvar"
	"strings"

	"github.com/lovageglade/lovageglade/internal/core"
)

// MetricPrefix begins the name of every metric of the system.
const MetricPrefix = "lovage_"

// The metrics that count. docs/operations/metrics.md says what each means.
var (
	requests   = expvar.NewMap("lovage_requests")
	refusals   = expvar.NewMap("lovage_refusals")
	attempts   = expvar.NewMap("lovage_attempts")
	retries    = expvar.NewMap("lovage_retries")
	inFlight   = expvar.NewMap("lovage_requests_in_flight")
	generation = expvar.NewInt("lovage_generation")
	phase      = expvar.NewString("lovage_phase")
	nodes      = expvar.NewInt("lovage_nodes")
	versions   = expvar.NewMap("lovage_versions")
	burnSeries = expvar.NewInt("lovage_burn_series")
	burnBytes  = expvar.NewInt("lovage_burn_bytes")
)

// RequestStarted counts a request of a service under way.
func RequestStarted(service core.Service) { inFlight.Add(string(service), 1) }

// RequestEnded counts a request by its service, the service's kind and its outcome.
func RequestEnded(service core.Service, kind, outcome string) {
	inFlight.Add(string(service), -1)
	requests.Add(strings.Join([]string{string(service), kind, outcome}, "/"), 1)
}

// RequestRefused counts a request that ended without an answer, by the kind of its error.
func RequestRefused(kind string) { refusals.Add(kind, 1) }

// AttemptStarted counts an attempt of a request, and a retry if it is not the request's first.
func AttemptStarted(service core.Service, retry bool) {
	attempts.Add(string(service), 1)
	if retry {
		retries.Add(string(service), 1)
	}
}

// SetNodeState sets what the process knows of itself: the generation in force, its phase and the nodes that it hears of.
func SetNodeState(inForce core.Generation, phaseName string, knownNodes int) {
	generation.Set(int64(inForce))
	phase.Set(phaseName)
	nodes.Set(int64(knownNodes))
}

// SetVersionProgress sets how far this host has come with a version.
func SetVersionProgress(version core.VersionID, verifiedChunks, totalChunks int, phaseName string) {
	progress := new(expvar.Map).Init()
	progress.Add("have", int64(verifiedChunks))
	progress.Add("total", int64(totalChunks))
	phaseValue := new(expvar.String)
	phaseValue.Set(phaseName)
	progress.Set("phase", phaseValue)
	versions.Set(string(version), progress)
}

// RetainVersions drops the versions that this host no longer holds.
func RetainVersions(held map[core.VersionID]bool) {
	var stale []string
	versions.Do(func(entry expvar.KeyValue) {
		if !held[core.VersionID(entry.Key)] {
			stale = append(stale, entry.Key)
		}
	})
	for _, name := range stale {
		versions.Delete(name)
	}
}

// SetBurnSize sets the number of series that the burn report keeps and the bytes that they take.
func SetBurnSize(series, bytes int) {
	burnSeries.Set(int64(series))
	burnBytes.Set(int64(bytes))
}
