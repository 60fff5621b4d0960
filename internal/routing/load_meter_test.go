package routing

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/wire"
)

func TestMeterCountsOwnAttemptsOnceAndDecaysReports(t *testing.T) {
	meter := NewLoadMeters().ForHost("h")
	meter.AddInFlight(3)
	meter.RecordReport(wire.Load{Running: 9, Queued: 2, Limit: 16}, time.Second)
	meter.typicalLoad.scaledMean.Store(perMille * typicalLoadSamples / 4) // other entries typically use a quarter of the limit
	for _, step := range []struct {
		at    time.Duration
		load  int64
		limit int64
	}{
		{time.Second, 3 + 8, 16},
		{time.Second + reportHalfLife, 3 + 6, 16},
		{time.Second + 2*reportHalfLife, 3 + 5, 16},
		{time.Second + reportedLimitTTL, 3 + 4, 16},
		{2*time.Second + reportedLimitTTL, 3 + 1, 4}, // the report has expired: the cold limit of 4 and a quarter of it
		{0, 3 + 8, 16}, // a clock reading from before the report
	} {
		if load, limit := meter.Load(step.at, 4), meter.Limit(step.at, 4); load != step.load || limit != step.limit {
			t.Errorf("at %v: load %d and limit %d, want %d and %d", step.at, load, limit, step.load, step.limit)
		}
	}
}

func TestMeterWithoutReportUsesTypicalLoad(t *testing.T) {
	meters := NewLoadMeters()
	if load := meters.ForHost("new").Load(0, 8); load != 0 {
		t.Errorf("load before any report is %d, want 0", load)
	}
	for range 50 * typicalLoadSamples {
		meters.ForHost("h").RecordReport(wire.Load{Running: 5, Limit: 10}, 0)
	}
	if load := meters.ForHost("new").Load(0, 9); load != 4 {
		t.Errorf("load is %d although half of each limit is typically in use, want 4", load)
	}
}

func TestMeterOfNewIncarnationDropsTheReport(t *testing.T) {
	meters := NewLoadMeters()
	meters.forIncarnation("h", 1).RecordReport(wire.Load{Running: 5, Limit: 9}, 0)
	if meters.forIncarnation("h", 1).Limit(0, 4) != 9 {
		t.Error("the report of the same incarnation was dropped")
	}
	if meter := meters.forIncarnation("h", 2); meter.Limit(0, 4) != 4 {
		t.Error("the report of an earlier incarnation is still used")
	}
}
