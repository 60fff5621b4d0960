package attempt

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const benchAnswerBytes = 512

// BenchmarkHeldAttempts measures the memory of finished attempts with answers of 512 bytes; x is the number of
// attempts.
func BenchmarkHeldAttempts(b *testing.B) {
	for _, attempts := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("x=%d", attempts), func(b *testing.B) {
			now := time.Unix(0, 0)
			before := heapInUse()
			table := NewTable(now)
			for range b.N {
				table = NewTable(now)
				for i := range attempts {
					addFinishedBench(b, table, core.AttemptID(fmt.Sprintf("%024d", i)), now)
				}
			}
			b.ReportMetric(heapInUse()-before, "heap-bytes")
			runtime.KeepAlive(table)
		})
	}
}

func addFinishedBench(b *testing.B, table *Table, id core.AttemptID, now time.Time) {
	b.Helper()
	record, _, err := table.Begin(Spec{ID: id}, now)
	if err != nil {
		b.Fatal(err)
	}
	record.SetHead(200, "application/json")
	if err := record.Append(make([]byte, benchAnswerBytes)); err != nil {
		b.Fatal(err)
	}
	record.Finish(wire.Load{})
}

func heapInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
