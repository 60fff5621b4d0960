package routing

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkIndex measures the memory and the build time of the index of one view with x endpoints.
func BenchmarkIndex(b *testing.B) {
	for _, endpoints := range []int{75, 150, 300, 600} {
		b.Run(fmt.Sprintf("x=%d", endpoints), func(b *testing.B) {
			view := newView(b, endpoints, nil)
			meters := NewLoadMeters()
			built := make([]*Index, 0, b.N)
			before := heapInUse()
			for b.Loop() {
				built = append(built, BuildIndex(view, entryLocality, meters))
			}
			b.ReportMetric((heapInUse()-before)/float64(len(built)), "heap-bytes")
			runtime.KeepAlive(built)
		})
	}
}

func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
