package plan

import (
	"fmt"
	"testing"
)

// BenchmarkDistributionSizes reports the cost of one distribution for x hosts.
func BenchmarkDistributionSizes(b *testing.B) {
	for _, hosts := range []int{16, 64, 200, 520} {
		b.Run(fmt.Sprintf("x=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				f := measure(targetConfig(hosts, wideRegionFactor))
				b.ReportMetric(f.maxControlRate, "control-bytes/s")
				b.ReportMetric(f.originTotal, "origin-copies")
				b.ReportMetric(f.maxHostLink, "link-copies")
				b.ReportMetric(f.ratio, "time-ratio")
			}
		})
	}
}
