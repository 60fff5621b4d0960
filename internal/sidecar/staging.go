package sidecar

import (
	"context"
	"strconv"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// takeStaged takes pieces of the version that lie staged at the engine already, so that they need not be fetched and
// others can have them from here. Those of another version do not match and stay out.
func (k *keeper) takeStaged(ctx context.Context, g *goal) {
	s := k.sidecar
	if g.manifest == nil {
		return
	}
	held, err := s.engine.Staged(ctx, k.model)
	if err != nil {
		s.logger.Warn().Err(err).Msg("staged pieces not listed; they will be fetched")
		return
	}
	for _, piece := range held {
		if piece >= len(g.manifest.Chunks) {
			continue
		}
		raw, err := s.engine.ReadStaged(ctx, k.model, piece)
		if err != nil {
			s.logger.Warn().Err(err).Int("piece", piece).Msg("staged piece not read; it will be fetched")
			continue
		}
		if err := s.store.Put(g.manifest.Chunks[piece], raw); err != nil {
			return // the first one that does not match shows that another version lies there
		}
	}
}

// stageArrived stages the pieces that have arrived since it was last called.
func (k *keeper) stageArrived(ctx context.Context, g *goal) error {
	if k.staging != g.version {
		k.staging, k.staged = g.version, make(map[int]bool)
	}
	for piece, digest := range g.manifest.Chunks {
		if k.staged[piece] {
			continue
		}
		raw := k.sidecar.store.Get(digest)
		if raw == nil {
			continue
		}
		if err := k.sidecar.engine.Stage(ctx, k.model, piece, raw); err != nil {
			return err
		}
		k.staged[piece] = true
		if len(k.staged) == len(g.manifest.Chunks) {
			k.sidecar.logger.Info().Str("model", string(k.model)).Int64("version", g.version).Dur("after", bootclock.Now()-g.named).Msg("weights complete and staged")
		}
	}
	return nil
}

// load reads every staged piece back and orders the engine to load them.
func (k *keeper) load(ctx context.Context, g *goal) error {
	s := k.sidecar
	if err := k.verifyStaged(ctx, g); err != nil {
		return err
	}
	s.serve(0, true) // the engine takes nothing new from here until it has loaded
	outcome, err := s.engine.Start(ctx, k.model, g.version)
	k.loading = err == nil && outcome == OrderBegun
	s.logger.Info().Str("model", string(k.model)).Int64("version", g.version).Int("outcome", int(outcome)).Err(err).Msg("engine ordered to load")
	return err
}

// verifyStaged reads the staged pieces back: they may have turned bad, or be lost with the engine's machine. Those are
// staged again by the next stageArrived.
func (k *keeper) verifyStaged(ctx context.Context, g *goal) error {
	for piece, digest := range g.manifest.Chunks {
		raw, err := k.sidecar.engine.ReadStaged(ctx, k.model, piece)
		if err != nil || weights.Sum(raw) != digest {
			delete(k.staged, piece)
		}
	}
	if missing := len(g.manifest.Chunks) - len(k.staged); missing > 0 {
		return fault.New(fault.Corrupted, strconv.Itoa(missing)+" staged pieces are gone or do not match their digests", "they are staged again")
	}
	return nil
}
