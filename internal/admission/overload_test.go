package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// The experiment on overload: one endpoint that runs 8 requests at once, each for a second on average, is offered 16 a
// second, an eighth of them by a small workspace. Callers wait 5 s.
const (
	overLimit    = 8
	overSeconds  = 300
	overRate     = 16
	overPatience = 5 * time.Second
	overTick     = 10 * time.Millisecond
	smallGets    = 0.9 // of its requests, which are half of its fair share
)

// admitter is what the experiment compares.
type admitter interface {
	Step(event Event) []Verdict
}

// fifo is a naive admitter: it refuses nobody and goes by arrival.
type fifo struct {
	running int
	waiting []uint64
}

func (f *fifo) Step(event Event) []Verdict {
	switch event := event.(type) {
	case Offered:
		f.waiting = append(f.waiting, event.ID)
	case Left:
		f.running--
	}
	var verdicts []Verdict
	for f.running < overLimit && len(f.waiting) > 0 {
		verdicts = append(verdicts, Verdict{ID: f.waiting[0]})
		f.waiting = f.waiting[1:]
		f.running++
	}
	return verdicts
}

func newOverState(queue int) *State {
	state := NewState()
	state.Step(BoundsChanged{Bounds: Bounds{Cold: overLimit, Max: overLimit, Queue: queue}})
	return state
}

// overload is a run of the experiment.
type overload struct {
	admitter admitter
	random   *rand.Rand
	requests map[uint64]overRequest
	running  map[uint64]time.Duration // when each ends
	good     map[core.Workspace]int   // answered in time
	offered  map[core.Workspace]int
	late     int           // ran and ended after the deadline
	refusal  time.Duration // longest time until a refusal
}

type overRequest struct {
	workspace core.Workspace
	at        time.Duration
}

func runOverload(a admitter) *overload {
	o := &overload{
		admitter: a, random: rand.New(rand.NewPCG(5, 6)),
		requests: make(map[uint64]overRequest), running: make(map[uint64]time.Duration),
		good: make(map[core.Workspace]int), offered: make(map[core.Workspace]int),
	}
	id := uint64(0)
	for now := time.Duration(0); now < overSeconds*time.Second; now += overTick {
		o.finish(now)
		for o.random.Float64() < overRate*overTick.Seconds() {
			id++
			o.offer(now, id)
		}
	}
	return o
}

func (o *overload) offer(now time.Duration, id uint64) {
	workspace := core.Workspace("large")
	if o.random.IntN(8) == 0 {
		workspace = "small"
	}
	o.offered[workspace]++
	o.requests[id] = overRequest{workspace: workspace, at: now}
	o.decide(now, o.admitter.Step(Offered{Now: now, ID: id, Workspace: workspace, Deadline: now + overPatience}))
}

func (o *overload) decide(now time.Duration, verdicts []Verdict) {
	for _, verdict := range verdicts {
		if verdict.Reason == Admitted {
			o.running[verdict.ID] = now + time.Second/2 + time.Duration(o.random.Int64N(int64(time.Second)))
			continue
		}
		o.refusal = max(o.refusal, now-o.requests[verdict.ID].at)
	}
}

func (o *overload) finish(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(o.running)) { // in order, so that a run repeats
		if o.running[id] > now {
			continue
		}
		delete(o.running, id)
		request := o.requests[id]
		if now <= request.at+overPatience {
			o.good[request.workspace]++
		} else {
			o.late++
		}
		o.decide(now, o.admitter.Step(Left{Now: now, End: Whole}))
	}
}

// goodput is the share of what the endpoint can run that was answered in time.
func (o *overload) goodput() float64 {
	return float64(o.good["large"]+o.good["small"]) / (overLimit * overSeconds)
}

func (o *overload) smallShare() float64 {
	return float64(o.good["small"]) / float64(o.offered["small"])
}

func TestOverloadKeepsGoodputAndTheSmallWorkspace(t *testing.T) {
	runs := map[string]*overload{
		"arrival":  runOverload(&fifo{}),
		"no queue": runOverload(newOverState(0)),
		"queue":    runOverload(newOverState(16)),
		"long":     runOverload(newOverState(64)),
	}
	for name, run := range runs {
		t.Logf("%s: goodput %.2f, small workspace %.2f, ended late %d, refused within %v", name, run.goodput(), run.smallShare(), run.late, run.refusal)
	}
	for _, name := range []string{"queue", "long"} {
		run := runs[name]
		if run.goodput() <= runs["arrival"].goodput() || run.goodput() < runs["no queue"].goodput() {
			t.Errorf("%s: goodput %.2f", name, run.goodput())
		}
		if run.smallShare() < smallGets {
			t.Errorf("%s: the small workspace got %.2f of its requests answered in time", name, run.smallShare())
		}
		if run.refusal > overPatience {
			t.Errorf("%s: a refusal took %v", name, run.refusal)
		}
	}
}
