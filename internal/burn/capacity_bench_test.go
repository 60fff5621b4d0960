package burn

import (
	"fmt"
	"testing"
)

// BenchmarkHeldSeries measures the memory of the statistics that an entry keeps over a busy day. The size x is the number
// of series.
func BenchmarkHeldSeries(b *testing.B) {
	const services = 3
	for _, workspaces := range []int{2, 5, 10, 20} {
		b.Run(fmt.Sprintf("x=%d", workspaces*services), func(b *testing.B) {
			var size int
			for b.Loop() {
				recorder := NewRecorder()
				recordBusyDay(recorder, workspaces, 10)
				_, size = recorder.Size()
			}
			b.ReportMetric(float64(size), "held-bytes")
		})
	}
}
