package burn

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// BenchmarkRecord records a stream of 200 parts.
func BenchmarkRecord(b *testing.B) {
	recorder := NewRecorder()
	seen := Observation{FirstToken: 700 * time.Millisecond}
	for i := range 199 {
		seen.Between = append(seen.Between, time.Duration(20+i%40)*time.Millisecond)
	}
	key := Key{Service: core.Service("chat"), Workspace: "space"}
	for b.Loop() {
		recorder.Record(time.Hour, key, seen)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/200, "ns/part")
}

// BenchmarkWindows answers for 30 series that were busy for more than a day.
func BenchmarkWindows(b *testing.B) {
	recorder := NewRecorder()
	fill(recorder, 10, 30)
	now := 26*time.Hour - time.Second
	var raw []byte
	for b.Loop() {
		packed, err := recorder.Windows(now, request(), nil).Pack()
		if err != nil {
			b.Fatal(err)
		}
		raw = packed.Packed
	}
	_, size := recorder.Size()
	b.ReportMetric(float64(len(raw)), "answer-bytes")
	b.ReportMetric(float64(size), "held-bytes")
}
