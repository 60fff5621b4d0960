package routing

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/wire"
)

func TestMeterCountsOwnAttemptsOnceAndLetsOthersFade(t *testing.T) {
	var meter Meter
	meter.Add(3)
	meter.Report(wire.Load{Running: 9, Queued: 2, Limit: 12}, time.Second)
	for _, step := range []struct {
		at    time.Duration
		load  int64
		limit int64
	}{
		{time.Second, 11, 12},
		{time.Second + loadHalfLife, 7, 12},
		{time.Second + 2*loadHalfLife, 5, 12},
		{time.Second + limitLife, 3, 12},
		{2*time.Second + limitLife, 3, 0},
		{0, 11, 12}, // a reader whose clock reading is older than the report
	} {
		if load, limit := meter.Load(step.at), meter.Limit(step.at); load != step.load || limit != step.limit {
			t.Errorf("at %v: load %d and limit %d, not %d and %d", step.at, load, limit, step.load, step.limit)
		}
	}
}

func TestMeterOfNewLifeForgetsTheReport(t *testing.T) {
	meters := NewMeters()
	meters.ofLife("h", 1).Report(wire.Load{Running: 5, Limit: 9}, 0)
	if meters.ofLife("h", 1).Limit(0) != 9 {
		t.Error("the report of the same life is gone")
	}
	if meter := meters.ofLife("h", 2); meter.Limit(0) != 0 || meter.Load(0) != 0 {
		t.Error("the report of an earlier life is believed")
	}
}
