package burn

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// BenchmarkRecord records a streamed response of 200 chunks.
func BenchmarkRecord(b *testing.B) {
	recorder := NewRecorder()
	observation := Observation{FirstToken: 700 * time.Millisecond}
	for i := range 199 {
		observation.TokenGaps = append(observation.TokenGaps, time.Duration(20+i%40)*time.Millisecond)
	}
	key := Key{Service: core.Service("chat"), Workspace: "space"}
	for b.Loop() {
		recorder.Record(time.Hour, key, observation)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/200, "ns/part")
}

// BenchmarkSeries measures the heap growth and the size of the response for series with more than a day of requests. The
// size x is the number of series.
func BenchmarkSeries(b *testing.B) {
	const (
		servicesFilled = 3
		perSlot        = 30 // requests per series in each 5-minute slot
	)
	for _, series := range []int{15, 30, 60, 120} {
		b.Run(fmt.Sprintf("x=%d", series), func(b *testing.B) {
			before := heapInUse()
			recorder := NewRecorder()
			recordBusyDay(recorder, series/servicesFilled, perSlot)
			heapGrowth := heapInUse() - before
			size := benchmarkResponse(b, recorder)
			b.ReportMetric(heapGrowth, "heap-bytes")
			b.ReportMetric(float64(size), "answer-bytes")
		})
	}
}

// benchmarkResponse builds and compresses a response of four windows in each iteration and returns its size in bytes.
func benchmarkResponse(b *testing.B, recorder *Recorder) int {
	size := 0
	for b.Loop() {
		packed, err := recorder.Windows(26*time.Hour-time.Second, windowsRequest(), nil).Pack()
		if err != nil {
			b.Fatal(err)
		}
		size = len(packed.Packed)
	}
	return size
}

func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
