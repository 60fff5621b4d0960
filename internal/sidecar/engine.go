package sidecar

import (
	"context"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// Report is the state that an engine reports.
type Report struct {
	Busy    bool // the engine is carrying out an order to load weights
	Loaded  map[core.Model]int64
	Running int
	Waiting int
	Pace    float64 // slowdown against the published step times; above 1 for a slower engine
}

// OrderOutcome is an engine's answer to an order to load weights.
type OrderOutcome int

// The answers to an order.
const (
	OrderBegun OrderOutcome = iota
	OrderDone               // the engine runs the version already
	OrderUnfit              // the engine rejected the order, since it does not fit its state
)

// Engine is the model engine on the sidecar's host. Weights are written to its staging area chunk by chunk, and take effect
// when the engine is ordered to load them.
type Engine interface {
	// Report returns the state of the engine.
	Report(ctx context.Context) (Report, error)
	// Staged returns the numbers of the model's staged chunks.
	Staged(ctx context.Context, model core.Model) ([]int, error)
	// Stage writes a chunk to the staging area.
	Stage(ctx context.Context, model core.Model, chunk int, raw []byte) error
	// ReadStaged reads a chunk back from the staging area.
	ReadStaged(ctx context.Context, model core.Model, chunk int) ([]byte, error)
	// Start orders the engine to load the staged chunks as the version.
	Start(ctx context.Context, model core.Model, version int64) (OrderOutcome, error)
}

// Origin serves the weights of new versions.
type Origin interface {
	Manifest(ctx context.Context, address string, model core.Model, version int64) (weights.Manifest, error)
	Piece(ctx context.Context, address string, model core.Model, version int64, chunk int) ([]byte, error)
}
