package config

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// publishInput asks for a publication; an empty id asks what is in force, or for the whole history.
type publishInput struct {
	id      string
	history string // what the history was at the end, as the model's state
}

// publishOutput is what the operator was told.
type publishOutput struct {
	head    Head
	lost    bool // another's publication won
	unknown bool // no answer
}

// accepted is the model's state: the publish ids of generations 1, 2, and so on, each ended by a space.
type accepted string

func (a accepted) ids() []string { return strings.Fields(string(a)) }

func (a accepted) with(id string) accepted { return a + accepted(id) + " " }

func publishModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{accepted("")} },
		Step: func(state, input, output any) []any {
			return stepPublish(state.(accepted), input.(publishInput), output.(publishOutput))
		},
	}
	return model.ToModel()
}

func stepPublish(state accepted, input publishInput, output publishOutput) []any {
	ids := state.ids()
	at := slices.Index(ids, input.id)
	generation := int(output.head.Generation)
	switch {
	case input.history != "":
		if accepted(input.history) == state {
			return []any{state}
		}
	case output.unknown: // one that took effect, if not before
		if at < 0 {
			return []any{state.with(input.id)}
		}
		return []any{state}
	case input.id == "":
		if generation == len(ids) && (generation == 0 || ids[generation-1] == output.head.PublishID) {
			return []any{state}
		}
	case output.lost:
		if at < 0 {
			return []any{state}
		}
	case at >= 0:
		if generation == at+1 {
			return []any{state}
		}
	case generation == len(ids)+1:
		return []any{state.with(input.id)}
	}
	return nil
}

// recorder collects operations under a logical clock.
type recorder struct {
	clock atomic.Int64
	mu    sync.Mutex
	all   []porcupine.Operation
}

func (r *recorder) do(client int, input publishInput, act func() (Head, error)) publishOutput {
	call := r.clock.Add(1)
	head, err := act()
	output := publishOutput{head: head, lost: fault.Is(err, fault.Conflict), unknown: fault.Is(err, fault.PlatformDown)}
	ended := r.clock.Add(1)
	if output.unknown {
		ended = neverAnswered
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, porcupine.Operation{ClientId: client, Input: input, Output: output, Call: call, Return: ended})
	return output
}

// complete returns the operations with the history as their last one. An operation without an answer may have taken
// effect or not, and the history tells: what is not in it never did and is left out, as are reads. Of the tries of a
// publication that is in it, the first may have taken effect at any time after it began; the others then did nothing.
func (r *recorder) complete(history accepted) []porcupine.Operation {
	slices.SortFunc(r.all, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var kept []porcupine.Operation
	tried := make(map[string]bool)
	for _, operation := range r.all {
		id := operation.Input.(publishInput).id
		if operation.Output.(publishOutput).unknown {
			if tried[id] || !slices.Contains(history.ids(), id) {
				continue
			}
			tried[id] = true
		}
		kept = append(kept, operation)
	}
	if history == "" {
		return kept
	}
	end := r.clock.Add(1)
	return append(kept, porcupine.Operation{Input: publishInput{history: string(history)}, Output: publishOutput{}, Call: end, Return: neverAnswered + 1})
}

const neverAnswered = 1 << 60 // the logical time of an answer that was lost

// runOperator publishes and shows in turn, repeating what was not answered, with a share of its writes lost.
func runOperator(t *testing.T, services *testPlatform, record *recorder, client int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	flaky := &flakyTables{Tables: services, decide: func(string) mishap {
		return []mishap{passes, passes, passes, passes, lostBefore, lostAfter, landsLate}[random.IntN(7)]
	}}
	publisher := Publisher{Tables: flaky, Objects: services}
	var open []int // publications without an answer, which are repeated now and then
	defer flaky.land(context.Background())
	for i := range 5 {
		if random.IntN(2) == 0 {
			flaky.land(context.Background())
		}
		number := client*100 + i
		if len(open) > 0 && random.IntN(2) == 0 {
			number = open[random.IntN(len(open))]
		}
		id := fmt.Sprintf("c%d", number)
		output := record.do(client, publishInput{id: id}, func() (Head, error) {
			return publisher.Publish(context.Background(), numbered(number), id)
		})
		if output.unknown {
			open = append(open, number)
		}
		if !output.unknown && !output.lost && output.head.Generation == 0 {
			t.Errorf("publication %s failed for another reason than a race or the platform", id)
		}
		record.do(client, publishInput{}, func() (Head, error) {
			head, _, err := ReadHead(context.Background(), services)
			return head, err
		})
	}
}

// disturb brings outages and lost answers about by turns, each for a number of the operators' steps.
func disturb(services *testPlatform, record *recorder, ended <-chan struct{}) {
	const steps = 8
	for turn := 0; ; turn++ {
		services.setFaults([]string{`{"down":true}`, `{}`, `{"lose_answers":true}`, `{}`}[turn%4])
		for until := record.clock.Load() + steps; record.clock.Load() < until; runtime.Gosched() {
			select {
			case <-ended:
				return
			default:
			}
		}
	}
}

// TestPublishAndShowAreLinearizable runs operators at once under races, lost answers and an outage.
func TestPublishAndShowAreLinearizable(t *testing.T) {
	const (
		runs      = 20
		clients   = 4
		firstSeed = 4100
	)
	generations := 0
	for run := range uint64(runs) {
		services := newTestPlatform(t)
		var record recorder
		var operators, tasks conc.WaitGroup
		for client := range clients {
			operators.Go(func() { runOperator(t, services, &record, client, firstSeed+run) })
		}
		ended := make(chan struct{})
		if run%2 == 1 {
			tasks.Go(func() { disturb(services, &record, ended) })
		}
		operators.Wait()
		close(ended)
		tasks.Wait()
		services.setFaults(`{}`)
		heads, err := History(t.Context(), services, 1000)
		if err != nil {
			t.Fatal(err)
		}
		var history accepted
		for _, head := range slices.Backward(heads) {
			history = history.with(head.PublishID)
		}
		if result := porcupine.CheckOperationsTimeout(publishModel(), record.complete(history), time.Minute); result != porcupine.Ok {
			t.Fatalf("run %d: %s", run, result)
		}
		generations += len(heads)
	}
	if generations < runs {
		t.Fatalf("only %d publications in %d runs", generations, runs)
	}
}
