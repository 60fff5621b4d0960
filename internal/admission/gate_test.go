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

func newRequest() Request {
	return Request{Workspace: "a", Deadline: time.Now().Add(time.Hour)}
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
			if err := gate.Acquire(ctx, newRequest()); err != nil {
				refused.Add(1)
				return
			}
			current := running.Add(1)
			for seen := peak.Load(); current > seen && !peak.CompareAndSwap(seen, current); seen = peak.Load() {
			}
			running.Add(-1)
			admitted.Add(1)
			gate.Release(true)
		})
	}
	callers.Wait()
	if admitted.Load()+refused.Load() != total || peak.Load() > 3 {
		t.Errorf("%d admitted and %d refused of 400, at most %d at once with a limit of 3", admitted.Load(), refused.Load(), peak.Load())
	}
	if load := gate.Load(); load.Running != 0 || load.Queued != 0 {
		t.Errorf("the gate still reports load after all requests ended: %+v", load)
	}
}

func TestGateRefusesWithTypedErrors(t *testing.T) {
	gate := NewGate()
	if err := gate.Acquire(context.Background(), newRequest()); !fault.Is(err, fault.Overloaded) || fault.RetryAfter(err) < 1 {
		t.Errorf("without bounds: %v with a retry delay of %d s, want Overloaded with at least 1 s", err, fault.RetryAfter(err))
	}
	if err := gate.Acquire(context.Background(), Request{Deadline: time.Now().Add(-time.Second)}); !fault.Is(err, fault.DeadlinePassed) {
		t.Errorf("after the deadline: %v, want DeadlinePassed", err)
	}
}

func TestGateResetsToColdWhenTheIncarnationChanges(t *testing.T) {
	gate := NewGate()
	gate.SetBounds(Bounds{Cold: 1, Max: 9})
	gate.ObserveIncarnation("one")
	for range 100 {
		if err := gate.Acquire(context.Background(), newRequest()); err != nil {
			t.Fatal(err)
		}
		gate.Release(true)
	}
	gate.ObserveIncarnation("one")
	if warm := gate.Load().Limit; warm < 2 {
		t.Fatalf("the limit did not rise above the cold one: %d", warm)
	}
	gate.ObserveIncarnation("two")
	if cold := gate.Load().Limit; cold != 1 {
		t.Errorf("the limit is %d in a new incarnation, want 1", cold)
	}
}

// endpoint is a simulated cold endpoint that counts its concurrent requests. Its gate may be nil.
type endpoint struct {
	gate       *Gate
	inUse      int
	peak       int
	aboveLimit int // requests that were started above the limit
	limit      int
}

func (e *endpoint) tryStart() bool {
	if e.gate != nil && e.gate.Acquire(context.Background(), newRequest()) != nil {
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
		e.gate.Release(false)
	}
}

const (
	coldLimit  = 4
	simEntries = 50
)

// simulateBurst lets many independent entries send requests to one cold endpoint. Each entry limits only its own
// requests. The order is random with a fixed seed.
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
		t.Error("no request was above the limit without the gate, so the simulation does not test the gate")
	}
	if with := simulateBurst(coldGate()); with.aboveLimit != 0 || with.peak != coldLimit {
		t.Errorf("%d requests above the limit, at most %d at once, want 0 and the limit", with.aboveLimit, with.peak)
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
	request := newRequest()
	for b.Loop() {
		_ = gate.Acquire(context.Background(), request)
		gate.Release(true)
	}
}
