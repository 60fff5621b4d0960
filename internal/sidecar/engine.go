package sidecar

import (
	"context"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// Report is what an engine says of itself.
type Report struct {
	Busy    bool // an order is in progress
	Loaded  map[core.Model]int64
	Running int
	Waiting int
	Pace    float64 // above 1 for one that is slower than published
}

// OrderOutcome says what an engine made of an order.
type OrderOutcome int

// The outcomes of orders.
const (
	OrderBegun OrderOutcome = iota
	OrderDone               // already in effect
	OrderUnfit              // it does not fit the engine's state
)

// Engine is the model engine on the sidecar's machine. Staged pieces lie beside it until it is told to start with them.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Staged lists the pieces of the model that lie staged.
	Staged(ctx context.Context, model core.Model) ([]int, error)
	Stage(ctx context.Context, model core.Model, chunk int, raw []byte) error
	ReadStaged(ctx context.Context, model core.Model, chunk int) ([]byte, error)
	// Start orders the engine to load the staged pieces as the version.
	Start(ctx context.Context, model core.Model, version int64) (OrderOutcome, error)
}

// Origin serves the weights of new versions.
type Origin interface {
	Manifest(ctx context.Context, address string, model core.Model, version int64) (weights.Manifest, error)
	Piece(ctx context.Context, address string, model core.Model, version int64, chunk int) ([]byte, error)
}
