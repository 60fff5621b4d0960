package sidecar

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// EngineReport is the state that an engine reports.
type EngineReport struct {
	Loading  bool                 // the engine is carrying out an order to load weights
	Loaded   map[core.Model]int64 // loaded version of each model
	Running  int
	Queued   int
	Slowdown float64 // slowdown against the published step times; above 1 for a slower engine
	Leaving  bool    // the engine is shutting down and takes no new requests

	OrdersAccepted int64     // orders that the engine has accepted since its start
	StartedAt      time.Time // start of the engine's process on its own clock; zero if it is not stated
}

// LoadResult is an engine's answer to an order to load weights.
type LoadResult int

// The answers to an order.
const (
	LoadStarted  LoadResult = iota
	LoadUnneeded            // the order is in effect already
	LoadRejected            // the engine rejected the order, since it does not fit its state
)

// Engine is the model engine on the sidecar's host. Weights are written to its staging area chunk by chunk, and take effect
// when the engine is ordered to load them.
type Engine interface {
	// Report returns the state of the engine.
	Report(ctx context.Context) (EngineReport, error)
	// StagedChunks returns the numbers of the model's staged chunks.
	StagedChunks(ctx context.Context, model core.Model) ([]int, error)
	// StageChunk writes a chunk to the staging area.
	StageChunk(ctx context.Context, model core.Model, chunk int, raw []byte) error
	// ReadStagedChunk reads a chunk back from the staging area. It returns fault.NotFound if the chunk is not staged.
	ReadStagedChunk(ctx context.Context, model core.Model, chunk int) ([]byte, error)
	// Load orders the engine to load the staged chunks as the version. The engine rejects the order unless it has accepted
	// the given number of orders. After an error it may have accepted it or may still do so.
	Load(ctx context.Context, model core.Model, version, ordersAccepted int64) (LoadResult, error)
	// Unload orders the engine to give up the loaded version, so that it can be loaded again. The condition and the errors are
	// those of Load.
	Unload(ctx context.Context, model core.Model, version, ordersAccepted int64) (LoadResult, error)
}

// Origin serves the weights of new versions.
type Origin interface {
	Manifest(ctx context.Context, address string, model core.Model, version int64) (weights.Manifest, error)
	Chunk(ctx context.Context, address string, model core.Model, version int64, chunk int) ([]byte, error)
}
