package plan

import (
	"fmt"
	"testing"
)

// BenchmarkDistributionSizes gives what one distribution takes; x is hosts.
func BenchmarkDistributionSizes(b *testing.B) {
	for _, hosts := range []int{16, 64, 200, 520} {
		b.Run(fmt.Sprintf("x=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				f := measure(targetShape(hosts, wideCopies))
				b.ReportMetric(f.controlWorst, "control-bytes/s")
				b.ReportMetric(f.originTotal, "origin-copies")
				b.ReportMetric(f.linkWorst, "link-copies")
				b.ReportMetric(f.ratio, "time-ratio")
			}
		})
	}
}
