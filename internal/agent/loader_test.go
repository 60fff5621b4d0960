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

// fakeEngine is an engine with a settable state. corrupt, if set, changes the state after a load or returns the
// error of the load.
type fakeEngine struct {
	backend.Engine
	state   backend.EngineState
	err     error
	corrupt func(*backend.EngineState) error
}

func (e *fakeEngine) State(context.Context) (backend.EngineState, error) { return e.state, e.err }

func loadedState() backend.EngineState {
	return backend.EngineState{Version: "v1", WeightsSHA256: "c1", Fence: 3, Incarnation: "l1"}
}

func newTestLoader(engine backend.Engine) *loader {
	l := &loader{agent: &Agent{engine: engine}, wakeup: make(chan struct{}, 1)}
	l.loaded.Store(&loadedVersion{version: "v1", sha256: "c1", incarnation: "l1", fence: 3})
	return l
}

// Load implements backend.Engine: it sets the state that a correct load results in and then calls corrupt.
func (e *fakeEngine) Load(_ context.Context, order backend.Order, raw io.Reader, _ int64) error {
	sum := sha256.New()
	if _, err := io.Copy(sum, raw); err != nil {
		return err
	}
	e.state = backend.EngineState{Version: order.Version, Fence: order.Fence, Incarnation: "l1", WeightsSHA256: hex.EncodeToString(sum.Sum(nil))}
	if e.corrupt != nil {
		return e.corrupt(&e.state)
	}
	return nil
}

// TestLoadEngineVerifiesWhatWasLoaded checks that a version is advertised only if the engine reports what was
// loaded. An engine may confirm a load and hold something else.
func TestLoadEngineVerifiesWhatWasLoaded(t *testing.T) {
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
		{"a lower fencing token", func(state *backend.EngineState) error { state.Fence--; return nil }, false},
		{"a refusal", func(*backend.EngineState) error { return errors.New("refused") }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newTestLoader(&fakeEngine{corrupt: test.fault})
			l.loaded.Store(nil)
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
			err := l.loadEngine(context.Background(), "v1", manifest)
			if (err == nil) != test.serves || (l.servedVersion() == "v1") != test.serves {
				t.Errorf("served version %q, error %v", l.servedVersion(), err)
			}
		})
	}
}

// TestCheckUnchangedDetectsEveryEngineChange guards against an answer that is reported as complete although the
// engine changed its weights or restarted meanwhile. Each case changes one thing between the start and the end of
// an answer.
func TestCheckUnchangedDetectsEveryEngineChange(t *testing.T) {
	for _, test := range []struct {
		name     string
		change   func(*fakeEngine, *loader)
		complete bool
	}{
		{"nothing", func(*fakeEngine, *loader) {}, true},
		{"more requests run", func(e *fakeEngine, _ *loader) { e.state.Running = 5 }, true},
		{"another version", func(e *fakeEngine, _ *loader) { e.state.Version = "v2" }, false},
		{"other contents", func(e *fakeEngine, _ *loader) { e.state.WeightsSHA256 = "c2" }, false},
		{"a command of another agent", func(e *fakeEngine, _ *loader) { e.state.Fence = 2 }, false},
		{"a restart", func(e *fakeEngine, _ *loader) { e.state.Incarnation = "l2" }, false},
		{"no state", func(e *fakeEngine, _ *loader) { e.err = errors.New("no answer") }, false},
		{"taken out of serving", func(_ *fakeEngine, l *loader) { l.loaded.Store(nil) }, false},
		{"loaded again meanwhile", func(_ *fakeEngine, l *loader) {
			again := *l.loaded.Load()
			l.loaded.Store(&again)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := &fakeEngine{state: loadedState()}
			l := newTestLoader(engine)
			loadedAtStart := l.loadedNow()
			test.change(engine, l)
			if err := l.checkUnchanged(context.Background(), loadedAtStart, "v1"); (err == nil) != test.complete {
				t.Errorf("complete should be %t, got error %v", test.complete, err)
			}
		})
	}
}

// TestDrawFence checks that a fencing token is higher than any that the engine has seen, and that an agent which
// was superseded gets a Conflict.
func TestDrawFence(t *testing.T) {
	for _, test := range []struct{ own, seen, want uint64 }{{0, 0, 1}, {0, 7, 8}, {4, 4, 5}, {4, 0, 5}, {4, 5, 0}} {
		engine := &fakeEngine{state: backend.EngineState{Fence: core.FenceNumber(test.seen)}}
		l := newTestLoader(engine)
		l.fence = core.FenceNumber(test.own)
		err := l.drawFence(context.Background())
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
