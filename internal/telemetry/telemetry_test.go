package telemetry

import (
	"bytes"
	"encoding/json"
	"expvar"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/wire"
)

func publishedMetrics() []string {
	var names []string
	expvar.Do(func(entry expvar.KeyValue) {
		if strings.HasPrefix(entry.Key, MetricPrefix) {
			names = append(names, entry.Key)
		}
	})
	slices.Sort(names)
	return names
}

func TestPageListsEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	var listed []string
	for _, row := range regexp.MustCompile("(?m)^\\| `("+MetricPrefix+"[a-z_]+)` \\|").FindAllSubmatch(page, -1) {
		listed = append(listed, string(row[1]))
	}
	slices.Sort(listed)
	if names := publishedMetrics(); !slices.Equal(listed, names) {
		t.Fatalf("the page lists\n%q\nand the code publishes\n%q", listed, names)
	}
}

func TestMetricValues(t *testing.T) {
	for _, counter := range []*expvar.Map{requests, refusals, attempts, retries, inFlight} {
		counter.Init() // metrics are global and keep their values when the test runs again
	}
	RequestStarted("s")
	RequestStarted("s")
	RequestEnded("s", "plain", "whole")
	RequestRefused("overloaded")
	AttemptStarted("s", false)
	AttemptStarted("s", true)
	SetBurnSize(3, 700)
	PublishLoad(func() wire.Load { return wire.Load{Running: 2, Queued: 1, Limit: 8, Generation: 5} })
	PublishRecord(wire.Record{Generation: 4, Phase: wire.PhaseReady, Versions: []wire.VersionStatus{{Version: "old"}, {Version: "v", Have: 2, Total: 5, Phase: wire.VersionFetching}}}, 6)
	PublishRecord(wire.Record{Generation: 5, Phase: wire.PhaseDraining, Versions: []wire.VersionStatus{{Version: "v", Have: 5, Total: 5, Phase: wire.VersionServing}}}, 7)
	for name, want := range map[string]string{
		"lovage_requests":           `{"s/plain/whole": 1}`,
		"lovage_requests_in_flight": `{"s": 1}`,
		"lovage_refusals":           `{"overloaded": 1}`,
		"lovage_attempts":           `{"s": 2}`,
		"lovage_retries":            `{"s": 1}`,
		"lovage_generation":         `5`,
		"lovage_phase":              `"draining"`,
		"lovage_nodes":              `7`,
		"lovage_versions":           `{"v": {"have": 5, "phase": "serving", "total": 5}}`,
		"lovage_burn_series":        `3`,
		"lovage_load":               `{"running":2,"queued":1,"limit":8}`,
		"lovage_burn_bytes":         `700`,
	} {
		if got := expvar.Get(name).String(); got != want {
			t.Errorf("%s = %s, want %s", name, got, want)
		}
	}
}

func TestLoggerWritesJSONLinesWithHost(t *testing.T) {
	var out bytes.Buffer
	logger := NewLogger("", "e1")
	logger.Writer = &log.IOWriter{Writer: &out}
	logger.Debug().Msg("below the level")
	logger.Warn().Str("request", "r").Msg("first")
	logger.Info().Msg("second")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("got %d lines, want 2: %s", len(lines), &out)
	}
	var line struct{ Host, Level, Message, Request string }
	if err := json.Unmarshal([]byte(lines[0]), &line); err != nil || line.Host != "e1" || line.Level != "warn" || line.Message != "first" || line.Request != "r" {
		t.Fatalf("unexpected line: %+v, error %v: %s", line, err, lines[0])
	}
}
