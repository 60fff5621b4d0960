package agent

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/stream"
)

// scriptedEngine answers as its fields say.
type scriptedEngine struct {
	backend.Engine
	status int
	err    error
	life   string
}

func (e *scriptedEngine) Call(context.Context, backend.Call) (*stream.Response, error) {
	if e.err != nil {
		return nil, e.err
	}
	return &stream.Response{Status: e.status}, nil
}

func (e *scriptedEngine) State(context.Context) (backend.EngineState, error) {
	return backend.EngineState{Life: e.life}, e.err
}

// newWarmGate returns a gate whose limit has risen above the cold one of 1.
func newWarmGate(t *testing.T) *admission.Gate {
	t.Helper()
	gate := admission.NewGate()
	gate.SetBounds(admission.Bounds{Cold: 1, Max: 9})
	for range 100 {
		if err := gate.Enter(context.Background(), admission.Ticket{Deadline: time.Now().Add(time.Hour)}); err != nil {
			t.Fatal(err)
		}
		gate.Leave(true)
	}
	if gate.Load().Limit < 2 {
		t.Fatal("the limit did not rise")
	}
	return gate
}

func TestObservedEngineTurnsTheGateCold(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, step := range map[string]struct {
		engine scriptedEngine
		ctx    context.Context
		cold   bool
	}{
		"answers":                             {scriptedEngine{status: http.StatusOK, life: "one"}, context.Background(), false},
		"refuses a bad request":               {scriptedEngine{status: http.StatusBadRequest, life: "one"}, context.Background(), false},
		"fails":                               {scriptedEngine{status: http.StatusServiceUnavailable, life: "one"}, context.Background(), true},
		"gives no answer":                     {scriptedEngine{err: errors.New("connection refused"), life: "one"}, context.Background(), true},
		"is called for a caller who has gone": {scriptedEngine{err: errors.New("stopped"), life: "one"}, cancelled, false},
		"reports another life":                {scriptedEngine{status: http.StatusOK, life: "two"}, context.Background(), true},
	} {
		gate := newWarmGate(t)
		gate.SawLife("one")
		engine := observed{Engine: &step.engine, gate: gate}
		for range 3 {
			_, _ = engine.Call(step.ctx, backend.Call{})
		}
		_, _ = engine.State(context.Background())
		if cold := gate.Load().Limit == 1; cold != step.cold {
			t.Errorf("an engine that %s: cold is %v", name, cold)
		}
	}
}
