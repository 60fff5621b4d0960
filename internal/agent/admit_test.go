package agent

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// scriptedEngine returns its fields as responses.
type scriptedEngine struct {
	backend.Engine
	status      int
	err         error
	incarnation string
}

func (e *scriptedEngine) Call(context.Context, backend.Call) (*stream.Response, error) {
	if e.err != nil {
		return nil, e.err
	}
	return &stream.Response{Status: e.status}, nil
}

func (e *scriptedEngine) State(context.Context) (backend.EngineState, error) {
	return backend.EngineState{Incarnation: e.incarnation}, e.err
}

// newWarmGate returns a gate whose limit has risen above its cold limit of 1.
func newWarmGate(t *testing.T) *admission.Gate {
	t.Helper()
	gate := admission.NewGate()
	gate.SetBounds(admission.Bounds{Cold: 1, Max: 9})
	for range 100 {
		if err := gate.Acquire(context.Background(), admission.Request{Deadline: time.Now().Add(time.Hour)}); err != nil {
			t.Fatal(err)
		}
		gate.Release(true)
	}
	if gate.Load().Limit < 2 {
		t.Fatal("the limit did not rise")
	}
	return gate
}

func TestObservedEngineResetsTheGateToCold(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, step := range map[string]struct {
		engine scriptedEngine
		ctx    context.Context
		cold   bool
	}{
		"answers":                             {scriptedEngine{status: http.StatusOK, incarnation: "one"}, context.Background(), false},
		"refuses a bad request":               {scriptedEngine{status: http.StatusBadRequest, incarnation: "one"}, context.Background(), false},
		"fails":                               {scriptedEngine{status: http.StatusServiceUnavailable, incarnation: "one"}, context.Background(), true},
		"gives no answer":                     {scriptedEngine{err: errors.New("connection refused"), incarnation: "one"}, context.Background(), true},
		"is called for a disconnected caller": {scriptedEngine{err: errors.New("stopped"), incarnation: "one"}, cancelled, false},
		"has restarted":                       {scriptedEngine{status: http.StatusOK, incarnation: "two"}, context.Background(), true},
	} {
		gate := newWarmGate(t)
		gate.ObserveIncarnation("one")
		engine := observedEngine{Engine: &step.engine, gate: gate}
		for range 3 {
			_, _ = engine.Call(step.ctx, backend.Call{})
		}
		_, _ = engine.State(context.Background())
		if cold := gate.Load().Limit == 1; cold != step.cold {
			t.Errorf("an engine that %s: limit is cold: %v", name, cold)
		}
	}
}

func TestAnsweringVersionIsServedAndAccepted(t *testing.T) {
	raw, digest, err := config.Encode(config.Set{
		Models:   []config.Model{{Name: "m"}, {Name: "x"}},
		Versions: []config.Version{{Name: "one", Model: "m", Manifest: "v1"}, {Name: "two", Model: "m", Manifest: "v2"}, {Name: "x", Model: "x", Manifest: "x1"}},
		Services: []config.Service{{Name: "models", Kind: config.KindModel}},
		Rules:    []config.Rule{{Name: "rule", Service: "models", Version: "two"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := config.Decode(5, digest, raw)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		expected, serving core.VersionID
		generation        core.Generation
		want              core.VersionID
	}{
		{"v2", "v2", 5, "v2"},
		{"v1", "v1", 5, "v1"}, // the old version, while the target version is being distributed
		{"v1", "v2", 5, "v2"}, // the entry does not know of the change yet
		{"v1", "v2", 4, "v2"},
		{"v2", "v1", 6, ""}, // the entry may know that v1 was withdrawn
		{"v1", "v1", 6, "v1"},
		{"v2", "", 5, ""},
		{"x1", "x1", 5, ""}, // belongs to another model
		{"v0", "v0", 4, ""}, // withdrawn
	} {
		dispatch := wire.Dispatch{Service: "models", Version: step.expected, Generation: step.generation}
		version, err := answeringVersion(snapshot, &dispatch, step.serving)
		if version != step.want || (err == nil) != (step.want != "") {
			t.Errorf("%+v: answered by %q, %v", step, version, err)
		}
	}
}
