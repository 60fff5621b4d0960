package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// The overload simulation: one endpoint runs 8 concurrent requests of one second on average, and 16 requests per
// second arrive. An eighth of them are from a small workspace. Callers wait 5 s.
const (
	simLimit               = 8
	simSeconds             = 300
	simArrivalsPerSecond   = 16
	simTimeout             = 5 * time.Second
	simTick                = 10 * time.Millisecond
	minSmallWorkspaceShare = 0.9 // of its requests, whose rate is half of its fair share
)

// admitter is an admission algorithm under test.
type admitter interface {
	Step(event Event) []Decision
}

// fifoAdmitter is a naive admitter with an unbounded queue in order of arrival. It refuses no request.
type fifoAdmitter struct {
	running int
	waiting []uint64
}

func (f *fifoAdmitter) Step(event Event) []Decision {
	switch event := event.(type) {
	case RequestArrived:
		f.waiting = append(f.waiting, event.ID)
	case RequestEnded:
		f.running--
	}
	var decisions []Decision
	for f.running < simLimit && len(f.waiting) > 0 {
		decisions = append(decisions, Decision{ID: f.waiting[0]})
		f.waiting = f.waiting[1:]
		f.running++
	}
	return decisions
}

func newSimState(queue int) *State {
	state := NewState()
	state.Step(BoundsChanged{Bounds: Bounds{Cold: simLimit, Max: simLimit, Queue: queue}})
	return state
}

// overloadSimulation is the state of one run of the simulation.
type overloadSimulation struct {
	admitter       admitter
	random         *rand.Rand
	requests       map[uint64]simRequest
	running        map[uint64]time.Duration // end time of each request
	answeredInTime map[core.Workspace]int   // requests that ended before the deadline
	offered        map[core.Workspace]int
	answeredLate   int           // requests that ended after the deadline
	slowestRefusal time.Duration // longest time from arrival to refusal
}

type simRequest struct {
	workspace core.Workspace
	arrivedAt time.Duration
}

func simulateOverload(a admitter) *overloadSimulation {
	o := &overloadSimulation{
		admitter: a, random: rand.New(rand.NewPCG(5, 6)),
		requests: make(map[uint64]simRequest), running: make(map[uint64]time.Duration),
		answeredInTime: make(map[core.Workspace]int), offered: make(map[core.Workspace]int),
	}
	id := uint64(0)
	for now := time.Duration(0); now < simSeconds*time.Second; now += simTick {
		o.finish(now)
		for o.random.Float64() < simArrivalsPerSecond*simTick.Seconds() {
			id++
			o.offer(now, id)
		}
	}
	return o
}

func (o *overloadSimulation) offer(now time.Duration, id uint64) {
	workspace := core.Workspace("large")
	if o.random.IntN(8) == 0 {
		workspace = "small"
	}
	o.offered[workspace]++
	o.requests[id] = simRequest{workspace: workspace, arrivedAt: now}
	o.decide(now, o.admitter.Step(RequestArrived{Now: now, ID: id, Workspace: workspace, Deadline: now + simTimeout}))
}

func (o *overloadSimulation) decide(now time.Duration, decisions []Decision) {
	for _, decision := range decisions {
		if decision.Reason == Admitted {
			o.running[decision.ID] = now + time.Second/2 + time.Duration(o.random.Int64N(int64(time.Second)))
			continue
		}
		o.slowestRefusal = max(o.slowestRefusal, now-o.requests[decision.ID].arrivedAt)
	}
}

func (o *overloadSimulation) finish(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(o.running)) { // sorted for reproducible runs
		if o.running[id] > now {
			continue
		}
		delete(o.running, id)
		request := o.requests[id]
		if now <= request.arrivedAt+simTimeout {
			o.answeredInTime[request.workspace]++
		} else {
			o.answeredLate++
		}
		o.decide(now, o.admitter.Step(RequestEnded{Now: now, Outcome: Complete}))
	}
}

// goodput returns the share of the endpoint's capacity that went to requests answered before their deadline.
func (o *overloadSimulation) goodput() float64 {
	return float64(o.answeredInTime["large"]+o.answeredInTime["small"]) / (simLimit * simSeconds)
}

func (o *overloadSimulation) smallShare() float64 {
	return float64(o.answeredInTime["small"]) / float64(o.offered["small"])
}

func TestOverloadPreservesGoodputAndFairness(t *testing.T) {
	runs := map[string]*overloadSimulation{
		"FIFO":        simulateOverload(&fifoAdmitter{}),
		"no queue":    simulateOverload(newSimState(0)),
		"queue of 16": simulateOverload(newSimState(16)),
		"queue of 64": simulateOverload(newSimState(64)),
	}
	for name, run := range runs {
		t.Logf("%s: goodput %.2f, share of the small workspace answered in time %.2f, answered late %d, slowest refusal %v", name, run.goodput(), run.smallShare(), run.answeredLate, run.slowestRefusal)
	}
	for _, name := range []string{"queue of 16", "queue of 64"} {
		run := runs[name]
		if run.goodput() <= runs["FIFO"].goodput() || run.goodput() < runs["no queue"].goodput() {
			t.Errorf("%s: goodput of %.2f is not above that of the FIFO queue or below that without a queue", name, run.goodput())
		}
		if run.smallShare() < minSmallWorkspaceShare {
			t.Errorf("%s: the share of the small workspace answered in time is %.2f", name, run.smallShare())
		}
		if run.slowestRefusal > simTimeout {
			t.Errorf("%s: a refusal took %v", name, run.slowestRefusal)
		}
	}
}
