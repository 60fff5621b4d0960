package telemetry

import (
	"expvar"
	"strings"

	"github.com/lovageglade/lovageglade/internal/core"
)

// MetricPrefix is the prefix of all metric names of the system.
const MetricPrefix = "lovage_"

// The metrics of entries and agents. docs/operations/metrics.md describes each.
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

// RequestStarted increments the number of requests of a service that are in flight.
func RequestStarted(service core.Service) { inFlight.Add(string(service), 1) }

// RequestEnded decrements the number of requests of a service that are in flight, and counts the request by its service,
// the service's kind and the outcome.
func RequestEnded(service core.Service, kind, outcome string) {
	inFlight.Add(string(service), -1)
	requests.Add(strings.Join([]string{string(service), kind, outcome}, "/"), 1)
}

// RequestRefused counts a request that ended with an error, by the kind of the error.
func RequestRefused(kind string) { refusals.Add(kind, 1) }

// AttemptStarted counts an attempt of a service's request. If retry is true, it counts a retry as well.
func AttemptStarted(service core.Service, retry bool) {
	attempts.Add(string(service), 1)
	if retry {
		retries.Add(string(service), 1)
	}
}

// SetNodeState sets the metrics of this node: the configuration generation in force, the node's phase and the number of
// nodes that it knows.
func SetNodeState(inForce core.Generation, phaseName string, knownNodes int) {
	generation.Set(int64(inForce))
	phase.Set(phaseName)
	nodes.Set(int64(knownNodes))
}

// SetVersionProgress sets this host's progress with a version: its verified chunks, the total of its chunks and its phase.
func SetVersionProgress(version core.VersionID, verifiedChunks, totalChunks int, phaseName string) {
	progress := new(expvar.Map).Init()
	progress.Add("have", int64(verifiedChunks))
	progress.Add("total", int64(totalChunks))
	phaseValue := new(expvar.String)
	phaseValue.Set(phaseName)
	progress.Set("phase", phaseValue)
	versions.Set(string(version), progress)
}

// RetainVersions removes the metrics of all versions that are not in held.
func RetainVersions(retained map[core.VersionID]bool) {
	var stale []string
	versions.Do(func(entry expvar.KeyValue) {
		if !retained[core.VersionID(entry.Key)] {
			stale = append(stale, entry.Key)
		}
	})
	for _, name := range stale {
		versions.Delete(name)
	}
}

// SetBurnSize sets the number of series kept for the burn rate report and their size in memory, in bytes.
func SetBurnSize(series, bytes int) {
	burnSeries.Set(int64(series))
	burnBytes.Set(int64(bytes))
}
