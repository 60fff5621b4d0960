package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/platform"
)

const roundTrip = 2 * time.Millisecond

// countingTables accepts every write after a round trip and counts rows and round trips.
type countingTables struct {
	platform.Tables
	rows, roundTrips atomic.Int64
}

func (c *countingTables) Write(_ context.Context, writes []platform.Write) ([]platform.WriteResult, error) {
	<-time.After(roundTrip)
	c.roundTrips.Add(1)
	c.rows.Add(int64(len(writes)))
	results := make([]platform.WriteResult, len(writes))
	for i, write := range writes {
		results[i] = platform.WriteResult{Written: true, Row: platform.Row{Key: write.Key, Value: write.Value, Revision: write.IfRevision + 1}}
	}
	return results, nil
}

// BenchmarkClaims measures the rows and round trips that new keyed requests cost the table service; x is the number of
// concurrent requests at one entry.
func BenchmarkClaims(b *testing.B) {
	for _, requests := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("x=%d", requests), func(b *testing.B) {
			tables := &countingTables{}
			claimer := NewClaimer(tables)
			for range b.N {
				acquireAll(b, claimer, requests)
			}
			b.ReportMetric(float64(tables.rows.Load())/float64(b.N), "rows")
			b.ReportMetric(float64(tables.roundTrips.Load())/float64(b.N), "round-trips")
		})
	}
}

func acquireAll(b *testing.B, claimer *Claimer, requests int) {
	b.Helper()
	var calls conc.WaitGroup
	defer calls.Wait()
	for i := range requests {
		calls.Go(func() {
			key := Key{Service: "bookings", Key: core.NewID()}
			if _, err := claimer.Acquire(context.Background(), key, Holder{Attempt: core.AttemptID(fmt.Sprint(i))}, 0); err != nil {
				b.Error(err)
			}
		})
	}
}
