package agent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"testing"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// stateEngine is an engine of which only the state matters.
type stateEngine struct {
	backend.Engine
	state backend.EngineState
	err   error
	fault func(*backend.EngineState) error // of an order
}

func (e *stateEngine) State(context.Context) (backend.EngineState, error) { return e.state, e.err }

func soundState() backend.EngineState {
	return backend.EngineState{Version: "v1", WeightsSHA256: "c1", Fence: 3, Incarnation: "l1"}
}

func loaderOn(engine backend.Engine) *loader {
	l := &loader{agent: &Agent{engine: engine}, woken: make(chan struct{}, 1)}
	l.held.Store(&loaded{version: "v1", contents: "c1", life: "l1", fence: 3})
	return l
}

// Load implements backend.Engine: it holds what was ordered, changed by the fault.
func (e *stateEngine) Load(_ context.Context, order backend.Order, raw io.Reader, _ int64) error {
	sum := sha256.New()
	if _, err := io.Copy(sum, raw); err != nil {
		return err
	}
	e.state = backend.EngineState{Version: order.Version, Fence: order.Fence, Incarnation: "l1", WeightsSHA256: hex.EncodeToString(sum.Sum(nil))}
	if e.fault != nil {
		return e.fault(&e.state)
	}
	return nil
}

// TestOrderReadsBack advertises a version only if the engine holds what was ordered.
func TestOrderReadsBack(t *testing.T) {
	raw := []byte("the weights of a version")
	manifest := weights.NewManifest("brief", "brief-v1", raw, 5)
	for _, test := range []struct {
		name   string
		fault  func(*backend.EngineState) error
		serves bool
	}{
		{"what was ordered", nil, true},
		{"another version", func(state *backend.EngineState) error { state.Version = "v2"; return nil }, false},
		{"other contents", func(state *backend.EngineState) error { state.WeightsSHA256 = "c2"; return nil }, false},
		{"a lower number", func(state *backend.EngineState) error { state.Fence--; return nil }, false},
		{"a refusal", func(*backend.EngineState) error { return errors.New("refused") }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := loaderOn(&stateEngine{fault: test.fault})
			l.held.Store(nil)
			l.agent.gate = admission.NewGate()
			l.agent.logger = &log.Logger{Level: log.ErrorLevel}
			l.agent.store = weights.NewStore(1 << 10)
			l.agent.node = node.NewRunner(wire.Record{}, core.RoleAgent, nil, nil, nil, l.agent.logger)
			l.manifests = map[core.VersionID]weights.Manifest{"v1": manifest}
			for i, digest := range manifest.Chunks {
				offset, length := manifest.Range(i)
				if err := l.agent.store.Put(digest, raw[offset:offset+length]); err != nil {
					t.Fatal(err)
				}
			}
			err := l.order(context.Background(), "v1", manifest)
			if (err == nil) != test.serves || (l.serving() == "v1") != test.serves {
				t.Errorf("serving %q, %v", l.serving(), err)
			}
		})
	}
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
		{"other contents", func(e *stateEngine, _ *loader) { e.state.WeightsSHA256 = "c2" }, false},
		{"an order of another holder", func(e *stateEngine, _ *loader) { e.state.Fence = 2 }, false},
		{"a restart", func(e *stateEngine, _ *loader) { e.state.Incarnation = "l2" }, false},
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
