package burn

import (
	"bytes"
	"encoding/xml"
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	rapidSeed   = "20261"
	rapidChecks = "100"
)

var windows = []time.Duration{10 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

func windowsRequest() WindowsRequest {
	var request WindowsRequest
	for _, window := range windows {
		request.WindowsS = append(request.WindowsS, int64(window/time.Second))
	}
	return request
}

// event is one request in the reference model, which keeps every request.
type event struct {
	at          time.Duration
	key         Key
	observation Observation
}

// countReferenceEvents counts the events since the start of the oldest slot that overlaps the window.
func countReferenceEvents(events []event, now, window time.Duration, match func(Key) bool, count func(Observation) (total, missed int)) (uint64, uint64) {
	width := fineWidth
	if window > time.Hour {
		width = coarseWidth
	}
	from := max(now-window, 0) / width * width
	var total, missed int
	for _, event := range events {
		if event.at >= from && event.at <= now && match(event.key) {
			more, missedHere := count(event.observation)
			total += more
			missed += missedHere
		}
	}
	return uint64(total), uint64(missed)
}

func TestMergedRatesMatchReference(t *testing.T) {
	if err := errors.Join(flag.Set("rapid.seed", rapidSeed), flag.Set("rapid.checks", rapidChecks), flag.Set("rapid.nofailfile", "true")); err != nil {
		t.Fatal(err)
	}
	set := config.Set{
		Services:   []config.Service{{Name: "chat", Objectives: config.Objectives{Availability: 0.99, FirstTokenMS: 100, BetweenTokensMS: 50}}},
		Workspaces: []config.Workspace{{Name: "w1", Objectives: map[core.Service]config.Objectives{"chat": {FirstTokenMS: 20}}}, {Name: "w2"}},
	}
	rapid.Check(t, func(t *rapid.T) {
		var events []event
		merged := NewAggregate(windows)
		now := time.Duration(rapid.IntRange(1, 60*40).Draw(t, "end")) * time.Minute
		for range rapid.IntRange(1, 3).Draw(t, "entries") {
			entryEvents := drawEvents(t, now)
			recorder := NewRecorder()
			for _, event := range entryEvents {
				recorder.Record(event.at, event.key, event.observation)
			}
			response := recorder.Windows(now, windowsRequest(), nil)
			packed, err := response.Pack()
			if err != nil {
				t.Fatal(err)
			}
			unpacked, err := packed.Unpack()
			if err != nil {
				t.Fatal(err)
			}
			if err := merged.Add(unpacked); err != nil {
				t.Fatal(err)
			}
			events = append(events, entryEvents...)
		}
		checkRows(t, merged.Rows(set), events, now)
	})
}

func drawEvents(t *rapid.T, now time.Duration) []event {
	var events []event
	for range rapid.IntRange(0, 40).Draw(t, "events") {
		observation := Observation{Bad: rapid.Bool().Draw(t, "bad")}
		if rapid.Bool().Draw(t, "stream") {
			observation.FirstToken = time.Duration(rapid.IntRange(1, 250).Draw(t, "first")) * time.Millisecond
			gap := time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond
			observation.TokenGaps = []time.Duration{gap, gap * 2}
		}
		key := Key{Service: "chat", Workspace: rapid.SampledFrom([]core.Workspace{"w1", "w2"}).Draw(t, "workspace")}
		events = append(events, event{at: time.Duration(rapid.Int64Range(0, int64(now)).Draw(t, "at")), key: key, observation: observation})
	}
	// Sort by time: the recorder expects events in order.
	for i := range events {
		for j := i; j > 0 && events[j].at < events[j-1].at; j-- {
			events[j], events[j-1] = events[j-1], events[j]
		}
	}
	return events
}

func checkRows(t *rapid.T, rows []Row, events []event, now time.Duration) {
	for _, row := range rows {
		match := func(key Key) bool { return row.Workspace == AllWorkspaces || key.Workspace == row.Workspace }
		firstTokenLimit := 100
		if row.Workspace == "w1" {
			firstTokenLimit = 20
		}
		allowed := latencyErrorBudget
		if row.Objective == ObjectiveAvailability {
			allowed = 1 - 0.99
		}
		for i, rate := range row.Rates {
			total, missed := countReferenceEvents(events, now, windows[i], match, func(observation Observation) (int, int) {
				return countMissed(row.Objective, observation, firstTokenLimit)
			})
			burn := 0.0
			if total > 0 {
				burn = float64(missed) / float64(total) / allowed
			}
			if rate.Total != total || rate.Missed != missed || math.Abs(rate.Burn-burn) > 1e-9 {
				t.Fatalf("%v over %s: %+v, want %d of %d", row, windows[i], rate, missed, total)
			}
		}
	}
}

func countMissed(objective Objective, observation Observation, firstTokenLimit int) (total, missed int) {
	add := func(bad bool) {
		total++
		if bad {
			missed++
		}
	}
	switch objective {
	case ObjectiveAvailability:
		add(observation.Bad)
	case ObjectiveFirstToken:
		if observation.FirstToken > 0 {
			add(observation.FirstToken.Milliseconds() > int64(firstTokenLimit))
		}
	case ObjectiveBetweenTokens:
		for _, gap := range observation.TokenGaps {
			add(gap.Milliseconds() > 50)
		}
	}
	return total, missed
}

func TestWindowsAgeOut(t *testing.T) {
	recorder := NewRecorder()
	key := Key{Service: "chat", Workspace: "w"}
	recorder.Record(0, key, Observation{Bad: true})
	for _, test := range []struct {
		now  time.Duration
		want []uint64 // requests in each window
	}{
		{0, []uint64{1, 1, 1, 1}},
		{59 * time.Minute, []uint64{1, 2, 2, 2}},
		{64*time.Minute + 59*time.Second, []uint64{1, 2, 2, 2}}, // the oldest slot began before the window
		{65 * time.Minute, []uint64{1, 1, 2, 2}},
		{70 * time.Minute, []uint64{0, 1, 2, 2}},
		{7*time.Hour + 59*time.Minute, []uint64{0, 0, 2, 2}},
		{8 * time.Hour, []uint64{0, 0, 0, 2}},
		{25 * time.Hour, []uint64{0, 0, 0, 2}},
		{26 * time.Hour, []uint64{0, 0, 0, 0}},
	} {
		if test.now == 59*time.Minute {
			recorder.Record(test.now, key, Observation{})
		}
		response := recorder.Windows(test.now, windowsRequest(), nil)
		var got []uint64
		for _, stats := range response.Series[0].Windows {
			got = append(got, stats.Total)
		}
		if !reflect.DeepEqual(got, test.want) {
			t.Errorf("at %s: %v, want %v", test.now, got, test.want)
		}
		if covered := response.CoveredS[3]; covered != min(test.now, 24*time.Hour).Seconds() {
			t.Errorf("at %s: covered %v s", test.now, covered)
		}
	}
}

func TestBurnRates(t *testing.T) {
	for _, test := range []struct {
		total, missed uint64
		allowed, want float64
	}{{0, 0, 0.01, 0}, {1000, 10, 0.01, 1}, {1000, 144, 0.01, 14.4}, {100, 5, latencyErrorBudget, 1}, {10, 0, 0.001, 0}} {
		if got := newRate(test.total, test.missed, test.allowed).Burn; math.Abs(got-test.want) > 1e-9 {
			t.Errorf("%+v: burn %v", test, got)
		}
	}
	set := config.Set{Services: []config.Service{{Name: "s", Objectives: config.Objectives{Availability: 0.99}}}}
	merged := NewAggregate([]time.Duration{time.Hour, 10 * time.Minute})
	if err := merged.Add(WindowsResponse{Series: []SeriesStats{{Key: Key{Service: "s", Workspace: "w"}, Windows: []EncodedStats{{Total: 1000, Bad: 4}, {Total: 100, Bad: 3}}}}}); err != nil {
		t.Fatal(err)
	}
	row := merged.Rows(set)[0]
	if math.Abs(row.BudgetLeft-0.6) > 1e-9 || math.Abs(row.MaxBurn()-3) > 1e-9 {
		t.Errorf("budget left %v, worst %v", row.BudgetLeft, row.MaxBurn())
	}
}

// recordBusyDay records 26 hours of requests for three services, with first-token times between 0.1 and 1 s.
func recordBusyDay(recorder *Recorder, workspaces, perSlot int) {
	for slot := range 26 * 12 {
		now := time.Duration(slot) * fineWidth
		for i := range workspaces * perSlot {
			spread := time.Duration(100+(slot*7919+i*31)%900) * time.Millisecond
			observation := Observation{FirstToken: spread, TokenGaps: []time.Duration{spread / 20, spread / 10, spread / 5}}
			for _, service := range []core.Service{"chat", "draft", "bookings"} {
				recorder.Record(now, Key{Service: service, Workspace: core.Workspace(fmt.Sprint(i % workspaces))}, observation)
			}
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	for _, test := range []struct{ workspaces, perSlot, maxBytes int }{
		{10, 1, 2 << 20},
		{maxSeries / 2, 1, 16 << 20}, // exceeds maxSeries
		{1, 100, 320 << 10},          // busy series: maxSeries of them take at most 40 MiB
	} {
		recorder := NewRecorder()
		recordBusyDay(recorder, test.workspaces, test.perSlot)
		count, size := recorder.Size()
		t.Logf("%d workspaces of 3 services, %d requests in 5 min each: %d series, %d bytes", test.workspaces, test.perSlot, count, size)
		if count > maxSeries+3 || size > test.maxBytes {
			t.Errorf("%d series take %d bytes, more than %d", count, size, test.maxBytes)
		}
	}
}

func TestInvalidResponseIsRejected(t *testing.T) {
	merged := NewAggregate(windows)
	for _, invalid := range []EncodedHistogram{
		{Values: []int64{1, 2}, Counts: []int64{1}},
		{Values: []int64{-1}, Counts: []int64{1}},
		{Values: []int64{maxHistogramValue + 1}, Counts: []int64{1}},
		{Values: []int64{1}, Counts: []int64{-1}},
	} {
		stats := EncodedStats{Histograms: map[Measure]EncodedHistogram{MeasureFirstToken: invalid}}
		if err := merged.Add(WindowsResponse{Series: []SeriesStats{{Windows: []EncodedStats{stats}}}}); !fault.Is(err, fault.Corrupted) {
			t.Errorf("%+v was accepted: %v", invalid, err)
		}
	}
	for _, packed := range [][]byte{nil, []byte("no gzip")} {
		if _, err := (PackedResponse{Packed: packed}).Unpack(); !fault.Is(err, fault.Corrupted) {
			t.Errorf("%q was unpacked: %v", packed, err)
		}
	}
}

// replicaSnapshot returns a configuration that assigns the version to two hosts in domain a and one in domain b.
func replicaSnapshot(t *testing.T, generation core.Generation, version core.VersionID, domainBOut bool) *config.Snapshot {
	t.Helper()
	set := config.Set{
		FailureDomains: []config.FailureDomain{{Name: "a"}, {Name: "b", Out: domainBOut}},
		Versions:       []config.Version{{Name: "v", Manifest: version}},
		Services: []config.Service{{Name: "chat", Kind: config.KindModel, Endpoints: []config.Endpoint{
			{Host: "r1", FailureDomain: "a"}, {Host: "r2", FailureDomain: "a"}, {Host: "r3", FailureDomain: "a"}, {Host: "r4", FailureDomain: "b"},
		}}},
		Rules: []config.Rule{{Name: "chat", Service: "chat", Version: "v", Replicas: map[core.FailureDomain]int{"a": 2, "b": 1}}},
	}
	raw, digest, err := config.Encode(set)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := config.Decode(generation, digest, raw)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func servingRecords(version core.VersionID, hosts ...core.HostID) map[core.HostID]wire.Record {
	records := make(map[core.HostID]wire.Record)
	for _, host := range hosts {
		records[host] = wire.Record{Versions: []wire.VersionStatus{{Version: version, Phase: wire.VersionServing}}}
	}
	return records
}

func TestTimeToReplicas(t *testing.T) {
	tracker := NewReplicaTracker()
	type step struct {
		second    int
		snapshot  *config.Snapshot
		records   map[core.HostID]wire.Record
		completed []CompletedRollout
		pending   int // seconds
	}
	first, second := replicaSnapshot(t, 1, "one", false), replicaSnapshot(t, 2, "two", false)
	third, fourth := replicaSnapshot(t, 3, "three", true), replicaSnapshot(t, 4, "three", true)
	for i, step := range []step{
		{0, first, nil, nil, 0}, // not timed: the start is unknown
		{5, first, servingRecords("one", "r1", "r2", "r4"), nil, 0},
		{10, second, servingRecords("one", "r1", "r2", "r4"), nil, 0},
		{20, second, servingRecords("two", "r1", "r2"), nil, 10},
		{30, second, servingRecords("two", "r1", "r2", "r4"), []CompletedRollout{{"chat", 20 * time.Second}}, 0},
		{31, second, nil, nil, 0}, // a lost replica does not restart the measurement
		{40, third, servingRecords("two", "r1", "r2"), nil, 0},
		{45, fourth, servingRecords("three", "r1"), nil, 5},
		{50, fourth, servingRecords("three", "r1", "r2"), []CompletedRollout{{"chat", 10 * time.Second}}, 0}, // domain b is out of service
	} {
		now := time.Duration(step.second) * time.Second
		if got := tracker.Observe(now, step.snapshot, step.records); !reflect.DeepEqual(got, step.completed) {
			t.Errorf("step %d: completed %v", i, got)
		}
		if got := tracker.Pending(now)["chat"]; got != time.Duration(step.pending)*time.Second {
			t.Errorf("step %d: pending for %s", i, got)
		}
	}
}

func TestPendingVersionsCount(t *testing.T) {
	recorder := NewRecorder()
	recorder.RecordReplicas(0, "chat", 10*time.Second)
	response := recorder.Windows(time.Minute, windowsRequest(), map[core.Service]time.Duration{"chat": 400 * time.Second, "draft": 400 * time.Second})
	merged := NewAggregate(windows)
	if err := merged.Add(response); err != nil {
		t.Fatal(err)
	}
	objectives := config.Objectives{ReplicasS: 300}
	rows := merged.Rows(config.Set{Services: []config.Service{{Name: "chat", Objectives: objectives}, {Name: "draft", Objectives: objectives}}})
	if len(rows) != 2 || rows[0].Rates[0].Total != 2 || rows[0].Rates[0].Missed != 1 || rows[1].Rates[0].Missed != 1 {
		t.Fatalf("rows %+v", rows)
	}
}

func TestPlotIsValidXML(t *testing.T) {
	rows := []Row{
		{Service: "chat", Workspace: "<w&>", Objective: ObjectiveAvailability, Target: "99%", Rates: []Rate{{Burn: 14.4, Total: 9}, {Burn: 0.5, Total: 100}}},
		{Service: "chat", Workspace: "*", Objective: ObjectiveFirstToken, Target: "95% in 5 ms", Rates: []Rate{{}, {Burn: 1, Total: 1}}},
	}
	var plot bytes.Buffer
	if err := WriteSVG(&plot, rows, windows[:2], 2); err != nil {
		t.Fatal(err)
	}
	text := plot.String()
	decoder := xml.NewDecoder(&plot)
	rects := 0
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if start, ok := token.(xml.StartElement); ok && start.Name.Local == "rect" {
			rects++
		}
	}
	if rects != 1+2+4 || !strings.Contains(text, "14.40") || !strings.Contains(text, "no data") || !strings.Contains(text, "threshold (2)") {
		t.Fatalf("%d rects in %s", rects, text)
	}
}
