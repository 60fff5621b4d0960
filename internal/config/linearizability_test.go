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

// publishInput is an operation: a publication under the id, a read of the head if the id is empty, or a read of the
// whole history if history is set.
type publishInput struct {
	id      string
	history string // the final history, as a state of the model
}

// publishOutput is the result of an operation.
type publishOutput struct {
	head     Head
	conflict bool // another publication was accepted
	unknown  bool // no response
}

// acceptedState is the state of the model: the publish IDs of generations 1, 2, and so on, each followed by a space.
type acceptedState string

func (a acceptedState) publishIDs() []string { return strings.Fields(string(a)) }

func (a acceptedState) withID(id string) acceptedState { return a + acceptedState(id) + " " }

func publishModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{acceptedState("")} },
		Step: func(state, input, output any) []any {
			return stepPublish(state.(acceptedState), input.(publishInput), output.(publishOutput))
		},
	}
	return model.ToModel()
}

func stepPublish(state acceptedState, input publishInput, output publishOutput) []any {
	ids := state.publishIDs()
	index := slices.Index(ids, input.id)
	generation := int(output.head.Generation)
	switch {
	case input.history != "":
		if acceptedState(input.history) == state {
			return []any{state}
		}
	case output.unknown: // it took effect, now or earlier
		if index < 0 {
			return []any{state.withID(input.id)}
		}
		return []any{state}
	case input.id == "":
		if generation == len(ids) && (generation == 0 || ids[generation-1] == output.head.PublishID) {
			return []any{state}
		}
	case output.conflict:
		if index < 0 {
			return []any{state}
		}
	case index >= 0:
		if generation == index+1 {
			return []any{state}
		}
	case generation == len(ids)+1:
		return []any{state.withID(input.id)}
	}
	return nil
}

// recorder collects operations with the times of a logical clock.
type recorder struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (r *recorder) record(client int, input publishInput, operation func() (Head, error)) publishOutput {
	called := r.clock.Add(1)
	head, err := operation()
	output := publishOutput{head: head, conflict: fault.Is(err, fault.Conflict), unknown: fault.Is(err, fault.PlatformUnavailable)}
	returned := r.clock.Add(1)
	if output.unknown {
		returned = noResponseTime
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{ClientId: client, Input: input, Output: output, Call: called, Return: returned})
	return output
}

// complete returns the operations, followed by a read of the final history. An operation without a response may or may
// not have taken effect. If the history does not contain its publication, it did not and is left out; reads without a
// response are left out too. Otherwise, the first attempt without a response may have taken effect at any time after its
// call, and the later ones are left out because they had no effect.
func (r *recorder) complete(history acceptedState) []porcupine.Operation {
	slices.SortFunc(r.operations, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var result []porcupine.Operation
	seen := make(map[string]bool)
	for _, operation := range r.operations {
		id := operation.Input.(publishInput).id
		if operation.Output.(publishOutput).unknown {
			if seen[id] || !slices.Contains(history.publishIDs(), id) {
				continue
			}
			seen[id] = true
		}
		result = append(result, operation)
	}
	if history == "" {
		return result
	}
	finalCall := r.clock.Add(1)
	return append(result, porcupine.Operation{Input: publishInput{history: string(history)}, Output: publishOutput{}, Call: finalCall, Return: noResponseTime + 1})
}

const noResponseTime = 1 << 60 // logical return time of operations without a response

// runPublisher publishes and reads the head in turn. It injects faults into its writes, and retries some publications
// that got no response.
func runPublisher(t *testing.T, services *testPlatform, operations *recorder, client int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	flaky := &flakyTables{Tables: services, chooseFault: func(string) writeFault {
		return []writeFault{noFault, noFault, noFault, noFault, lostRequest, lostResponse, delayedWrite}[random.IntN(7)]
	}}
	publisher := Publisher{Tables: flaky, Objects: services}
	var unanswered []int // publications without a response, some of which are retried
	defer flaky.applyDelayed(context.Background())
	for i := range 5 {
		if random.IntN(2) == 0 {
			flaky.applyDelayed(context.Background())
		}
		number := client*100 + i
		if len(unanswered) > 0 && random.IntN(2) == 0 {
			number = unanswered[random.IntN(len(unanswered))]
		}
		id := fmt.Sprintf("c%d", number)
		output := operations.record(client, publishInput{id: id}, func() (Head, error) {
			return publisher.Publish(context.Background(), numberedSet(number), id)
		})
		if output.unknown {
			unanswered = append(unanswered, number)
		}
		if !output.unknown && !output.conflict && output.head.Generation == 0 {
			t.Errorf("publication %s failed for a reason other than a conflict or the platform", id)
		}
		operations.record(client, publishInput{}, func() (Head, error) {
			head, _, err := ReadHead(context.Background(), services)
			return head, err
		})
	}
}

// injectFaults alternates between outages, lost responses and normal operation until done is closed. Each phase lasts for
// a number of steps of the logical clock.
func injectFaults(services *testPlatform, operations *recorder, done <-chan struct{}) {
	const steps = 8
	for round := 0; ; round++ {
		services.setFaults([]string{`{"down":true}`, `{}`, `{"lose_answers":true}`, `{}`}[round%4])
		for until := operations.clock.Load() + steps; operations.clock.Load() < until; runtime.Gosched() {
			select {
			case <-done:
				return
			default:
			}
		}
	}
}

// TestPublishAndReadHeadAreLinearizable runs concurrent publishers with conflicts, lost responses and outages, and checks
// their operations against a sequential model.
func TestPublishAndReadHeadAreLinearizable(t *testing.T) {
	const (
		runs      = 20
		clients   = 4
		firstSeed = 4100
	)
	generations := 0
	for run := range uint64(runs) {
		services := newTestPlatform(t)
		var operations recorder
		var publishers, faultInjector conc.WaitGroup
		for client := range clients {
			publishers.Go(func() { runPublisher(t, services, &operations, client, firstSeed+run) })
		}
		done := make(chan struct{})
		if run%2 == 1 {
			faultInjector.Go(func() { injectFaults(services, &operations, done) })
		}
		publishers.Wait()
		close(done)
		faultInjector.Wait()
		services.setFaults(`{}`)
		heads, err := History(t.Context(), services, 1000)
		if err != nil {
			t.Fatal(err)
		}
		var history acceptedState
		for _, head := range slices.Backward(heads) {
			history = history.withID(head.PublishID)
		}
		if result := porcupine.CheckOperationsTimeout(publishModel(), operations.complete(history), time.Minute); result != porcupine.Ok {
			t.Fatalf("run %d: %s", run, result)
		}
		generations += len(heads)
	}
	if generations < runs {
		t.Fatalf("only %d publications in %d runs", generations, runs)
	}
}
