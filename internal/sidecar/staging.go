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
func (u *updater) adoptStaged(ctx context.Context, target *targetVersion) {
	s := u.sidecar
	if target.manifest == nil {
		return
	}
	staged, err := s.engine.Staged(ctx, u.model)
	if err != nil {
		s.logger.Warn().Err(err).Msg("staged pieces not listed; they will be fetched")
		return
	}
	for _, chunk := range staged {
		if chunk >= len(target.manifest.Chunks) {
			continue
		}
		raw, err := s.engine.ReadStaged(ctx, u.model, chunk)
		if err != nil {
			s.logger.Warn().Err(err).Int("piece", chunk).Msg("staged piece not read; it will be fetched")
			continue
		}
		if err := s.store.Put(target.manifest.Chunks[chunk], raw); err != nil {
			return // the first one that does not match shows that another version lies there
		}
	}
}

// stageArrived stages the pieces that have arrived since it was last called.
func (u *updater) stageArrived(ctx context.Context, target *targetVersion) error {
	if u.stagingVersion != target.version {
		u.stagingVersion, u.stagedChunks = target.version, make(map[int]bool)
	}
	for chunk, digest := range target.manifest.Chunks {
		if u.stagedChunks[chunk] {
			continue
		}
		raw := u.sidecar.store.Get(digest)
		if raw == nil {
			continue
		}
		if err := u.sidecar.engine.Stage(ctx, u.model, chunk, raw); err != nil {
			return err
		}
		u.stagedChunks[chunk] = true
		if len(u.stagedChunks) == len(target.manifest.Chunks) {
			u.sidecar.logger.Info().Str("model", string(u.model)).Int64("version", target.version).Dur("after", bootclock.Now()-target.requestedAt).Msg("weights complete and staged")
		}
	}
	return nil
}

// load reads every staged piece back and orders the engine to load them.
func (u *updater) load(ctx context.Context, target *targetVersion) error {
	s := u.sidecar
	if err := u.verifyStaged(ctx, target); err != nil {
		return err
	}
	s.setServing(0, true) // the engine takes nothing new from here until it has loaded
	outcome, err := s.engine.Start(ctx, u.model, target.version)
	u.loading = err == nil && outcome == OrderBegun
	s.logger.Info().Str("model", string(u.model)).Int64("version", target.version).Int("outcome", int(outcome)).Err(err).Msg("engine ordered to load")
	return err
}

// verifyStaged reads the staged pieces back: they may have turned bad, or be lost with the engine's machine. Those are
// staged again by the next stageArrived.
func (u *updater) verifyStaged(ctx context.Context, target *targetVersion) error {
	for chunk, digest := range target.manifest.Chunks {
		raw, err := u.sidecar.engine.ReadStaged(ctx, u.model, chunk)
		if err != nil || weights.Sum(raw) != digest {
			delete(u.stagedChunks, chunk)
		}
	}
	if missing := len(target.manifest.Chunks) - len(u.stagedChunks); missing > 0 {
		return fault.New(fault.Corrupted, strconv.Itoa(missing)+" staged pieces are gone or do not match their digests", "they are staged again")
	}
	return nil
}
