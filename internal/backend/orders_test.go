package backend_test

import (
	"context"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/standin"
)

// orderCase is one kind of order; applied reports whether the engine's state shows its effect.
type orderCase struct {
	name    string
	send    func(engine *backend.HTTP, fence core.FenceNumber) error
	applied func(backend.EngineState) bool
}

func orderCases() []orderCase {
	ctx := context.Background()
	return []orderCase{
		{"load", func(engine *backend.HTTP, fence core.FenceNumber) error {
			return engine.Load(ctx, backend.Order{Version: "v1", Fence: fence}, strings.NewReader("weights"), 7)
		}, func(state backend.EngineState) bool { return state.Version == "v1" }},
		{"adapter", func(engine *backend.HTTP, fence core.FenceNumber) error {
			return engine.LoadAdapter(ctx, backend.Order{Version: "v1", Adapter: "fronts", Fence: fence}, strings.NewReader("adapter"), 7)
		}, func(state backend.EngineState) bool { return slices.Contains(state.Adapters, "fronts") }},
		{"role", func(engine *backend.HTTP, fence core.FenceNumber) error {
			return engine.SetRole(ctx, backend.Order{Role: backend.RoleDecode, Fence: fence})
		}, func(state backend.EngineState) bool { return state.Role == backend.RoleDecode }},
		{"unload", func(engine *backend.HTTP, fence core.FenceNumber) error {
			return engine.Unload(ctx, backend.Order{Fence: fence})
		}, func(state backend.EngineState) bool { return state.Version == "" }},
	}
}

// TestEveryOrderCarriesItsFencingNumber sends each kind of order with a new fencing number and then with the same one
// again.
func TestEveryOrderCarriesItsFencingNumber(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	app := standin.NewEngine(1, time.Millisecond).App()
	go func() { _ = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}) }()
	t.Cleanup(func() { _ = app.ShutdownWithTimeout(100 * time.Millisecond) })
	engine := backend.NewHTTP(listener.Addr().String())
	for i, order := range orderCases() {
		fence := core.FenceNumber(i + 1)
		if err := order.send(engine, fence); err != nil {
			t.Fatalf("%s: %v", order.name, err)
		}
		state, err := engine.State(context.Background())
		if err != nil || !order.applied(state) || state.Fence != fence {
			t.Errorf("%s: engine state %+v, %v", order.name, state, err)
		}
		if err := order.send(engine, fence); !fault.Is(err, fault.Conflict) {
			t.Errorf("%s with an old fencing number: %v", order.name, err)
		}
	}
}
