package agent

import (
	"context"
	"errors"
	"testing"

	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// stateEngine is an engine of which only the state matters.
type stateEngine struct {
	backend.Engine
	state backend.EngineState
	err   error
}

func (e *stateEngine) State(context.Context) (backend.EngineState, error) { return e.state, e.err }

func soundState() backend.EngineState {
	return backend.EngineState{Version: "v1", Contents: "c1", Fence: 3, Life: "l1"}
}

func loaderOn(engine backend.Engine) *loader {
	l := &loader{agent: &Agent{engine: engine}, woken: make(chan struct{}, 1)}
	l.held.Store(&loaded{version: "v1", contents: "c1", life: "l1", fence: 3})
	return l
}

// TestHoldsSeesEveryChangeOfTheEngine changes one thing between the start and the end of an answer.
func TestHoldsSeesEveryChangeOfTheEngine(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*stateEngine, *loader)
		whole  bool
	}{
		{"nothing", func(*stateEngine, *loader) {}, true},
		{"more requests run", func(e *stateEngine, _ *loader) { e.state.Running = 5 }, true},
		{"another version", func(e *stateEngine, _ *loader) { e.state.Version = "v2" }, false},
		{"other contents", func(e *stateEngine, _ *loader) { e.state.Contents = "c2" }, false},
		{"an order of another holder", func(e *stateEngine, _ *loader) { e.state.Fence = 2 }, false},
		{"a restart", func(e *stateEngine, _ *loader) { e.state.Life = "l2" }, false},
		{"no state", func(e *stateEngine, _ *loader) { e.err = errors.New("no answer") }, false},
		{"out of serving", func(_ *stateEngine, l *loader) { l.held.Store(nil) }, false},
		{"loaded again in between", func(_ *stateEngine, l *loader) {
			again := *l.held.Load()
			l.held.Store(&again)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := &stateEngine{state: soundState()}
			l := loaderOn(engine)
			since := l.holding()
			test.change(engine, l)
			if err := l.holds(context.Background(), since, "v1"); (err == nil) != test.whole {
				t.Errorf("whole should be %t, got %v", test.whole, err)
			}
		})
	}
}

// TestTakeFence draws numbers above all that the engine has seen, unless another holder has superseded this one.
func TestTakeFence(t *testing.T) {
	for _, test := range []struct{ own, seen, want uint64 }{{0, 0, 1}, {0, 7, 8}, {4, 4, 5}, {4, 0, 5}, {4, 5, 0}} {
		engine := &stateEngine{state: backend.EngineState{Fence: core.FenceNumber(test.seen)}}
		l := loaderOn(engine)
		l.fence = core.FenceNumber(test.own)
		err := l.takeFence(context.Background())
		if test.want == 0 {
			if !fault.Is(err, fault.Conflict) {
				t.Errorf("own %d, seen %d: %v", test.own, test.seen, err)
			}
			continue
		}
		if err != nil || l.fence != core.FenceNumber(test.want) {
			t.Errorf("own %d, seen %d: drew %d, %v", test.own, test.seen, l.fence, err)
		}
	}
}
