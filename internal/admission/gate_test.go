package admission

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/fault"
)

func newTicket() Ticket {
	return Ticket{Workspace: "a", Deadline: time.Now().Add(time.Hour)}
}

func TestGateDecidesEachCallerOnceAndKeepsTheLimit(t *testing.T) {
	gate := NewGate()
	gate.SetBounds(Bounds{Cold: 3, Max: 3, Queue: 5})
	var running, peak, admitted, refused atomic.Int64
	var callers conc.WaitGroup
	const total = 400
	for i := range total {
		callers.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%7 == 0 {
				cancel()
			}
			if err := gate.Enter(ctx, newTicket()); err != nil {
				refused.Add(1)
				return
			}
			current := running.Add(1)
			for seen := peak.Load(); current > seen && !peak.CompareAndSwap(seen, current); seen = peak.Load() {
			}
			running.Add(-1)
			admitted.Add(1)
			gate.Leave(true)
		})
	}
	callers.Wait()
	if admitted.Load()+refused.Load() != total || peak.Load() > 3 {
		t.Errorf("%d admitted, %d refused, at most %d at once", admitted.Load(), refused.Load(), peak.Load())
	}
	if load := gate.Load(); load.Running != 0 || load.Queued != 0 {
		t.Errorf("load is left: %+v", load)
	}
}

func TestGateRefusesWithTypedErrors(t *testing.T) {
	gate := NewGate()
	if err := gate.Enter(context.Background(), newTicket()); !fault.Is(err, fault.Overloaded) || fault.RetryAfter(err) < 1 {
		t.Errorf("without bounds: %v, retry after %d", err, fault.RetryAfter(err))
	}
	if err := gate.Enter(context.Background(), Ticket{Deadline: time.Now().Add(-time.Second)}); !fault.Is(err, fault.Expired) {
		t.Errorf("after the deadline: %v", err)
	}
}

func TestGateResetsToColdWhenTheIncarnationChanges(t *testing.T) {
	gate := NewGate()
	gate.SetBounds(Bounds{Cold: 1, Max: 9})
	gate.SawLife("one")
	for range 100 {
		if err := gate.Enter(context.Background(), newTicket()); err != nil {
			t.Fatal(err)
		}
		gate.Leave(true)
	}
	gate.SawLife("one")
	if warm := gate.Load().Limit; warm < 2 {
		t.Fatalf("the limit did not rise: %d", warm)
	}
	gate.SawLife("two")
	if cold := gate.Load().Limit; cold != 1 {
		t.Errorf("the limit is %d in a new life", cold)
	}
}

// endpoint counts how many requests a cold endpoint runs at once.
type endpoint struct {
	gate       *Gate
	inUse      int
	peak       int
	aboveLimit int // requests that it was given above its limit
	limit      int
}

func (e *endpoint) tryStart() bool {
	if e.gate != nil && e.gate.Enter(context.Background(), newTicket()) != nil {
		return false
	}
	e.inUse++
	e.peak = max(e.peak, e.inUse)
	if e.inUse > e.limit {
		e.aboveLimit++
	}
	return true
}

func (e *endpoint) finish() {
	e.inUse--
	if e.gate != nil {
		e.gate.Leave(false)
	}
}

const (
	coldLimit  = 4
	simEntries = 50
)

// simulateBurst lets entries that do not know of each other send to one cold endpoint, each up to the limit as it knows it from
// its own requests alone. The order is drawn from a fixed seed.
func simulateBurst(gate *Gate) *endpoint {
	e := &endpoint{gate: gate, limit: coldLimit}
	random := rand.New(rand.NewPCG(1, 2))
	own := make([]int, simEntries)
	for range 20_000 {
		i := random.IntN(simEntries)
		if own[i] > 0 && random.IntN(3) == 0 {
			own[i]--
			e.finish()
			continue
		}
		if own[i] < coldLimit && e.tryStart() {
			own[i]++
		}
	}
	return e
}

func coldGate() *Gate {
	gate := NewGate()
	gate.SetBounds(Bounds{Cold: coldLimit, Max: coldLimit})
	return gate
}

func TestColdEndpointNeverExceedsItsLimitUnderManyEntries(t *testing.T) {
	if without := simulateBurst(nil); without.aboveLimit == 0 {
		t.Error("without the gate no request was above the limit: the experiment shows nothing")
	}
	if with := simulateBurst(coldGate()); with.aboveLimit != 0 || with.peak != coldLimit {
		t.Errorf("%d requests above the limit, at most %d at once", with.aboveLimit, with.peak)
	}
}

func BenchmarkColdLimit(b *testing.B) {
	var with, without *endpoint
	for b.Loop() {
		with, without = simulateBurst(coldGate()), simulateBurst(nil)
	}
	b.ReportMetric(float64(with.aboveLimit), "above-limit")
	b.ReportMetric(float64(without.aboveLimit), "above-limit-ungated")
}

func BenchmarkGate(b *testing.B) {
	gate := coldGate()
	ticket := newTicket()
	for b.Loop() {
		_ = gate.Enter(context.Background(), ticket)
		gate.Leave(true)
	}
}
