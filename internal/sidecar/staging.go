package sidecar

import (
	"context"
	"strconv"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// adoptStaged copies chunks of the version that are staged at the engine already into the chunk store, so that they need
// not be fetched and peers can fetch them from here. It stops at the first chunk that belongs to another version.
func (u *updater) adoptStaged(ctx context.Context, target *targetVersion) {
	s := u.sidecar
	if target.manifest == nil {
		return
	}
	staged, err := s.engine.StagedChunks(ctx, u.model)
	if err != nil {
		s.logger.Warn().Err(err).Msg("staged chunks cannot be listed; they will be fetched")
		return
	}
	for _, chunk := range staged {
		if chunk >= len(target.manifest.Chunks) {
			continue
		}
		raw, err := s.engine.ReadStagedChunk(ctx, u.model, chunk)
		if err != nil {
			s.logger.Warn().Err(err).Int("piece", chunk).Msg("staged chunk cannot be read; it will be fetched")
			continue
		}
		if err := s.store.Put(target.manifest.Chunks[chunk], raw); err != nil {
			return // a digest mismatch shows that another version is staged
		}
	}
}

// stageArrived stages the chunks that have arrived since the last call.
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
		if !u.mayReplaceStaged() && u.holdsOther(ctx, chunk, digest) {
			continue
		}
		if u.mayBeOverwritten(chunk, target.version) {
			continue
		}
		err := u.sidecar.engine.StageChunk(ctx, u.model, chunk, raw)
		u.recordWrite(chunk, target.version, err)
		if err != nil {
			return err
		}
		u.stagedChunks[chunk] = true
		if len(u.stagedChunks) == len(target.manifest.Chunks) {
			if target.completeAt == 0 {
				target.completeAt = bootclock.Now()
			}
			u.sidecar.logger.Info().Str("model", string(u.model)).Int64("version", target.version).Dur("after", bootclock.Now()-target.requestedAt).Msg("weights complete and staged")
		}
	}
	return nil
}

// holdsOther reports whether the engine may hold staged bytes of the chunk that do not match the digest.
func (u *updater) holdsOther(ctx context.Context, chunk int, digest weights.Digest) bool {
	raw, err := u.sidecar.engine.ReadStagedChunk(ctx, u.model, chunk)
	if err != nil {
		return !fault.Is(err, fault.NotFound)
	}
	return weights.Sum(raw) != digest
}

// verifyStaged reads the staged chunks back and checks their digests, since they may be corrupted or lost with the engine's
// host. Chunks that fail the check are staged again by the next call of stageArrived.
func (u *updater) verifyStaged(ctx context.Context, target *targetVersion) error {
	for chunk, digest := range target.manifest.Chunks {
		raw, err := u.sidecar.engine.ReadStagedChunk(ctx, u.model, chunk)
		if err != nil || weights.Sum(raw) != digest {
			delete(u.stagedChunks, chunk)
		}
	}
	if missing := len(target.manifest.Chunks) - len(u.stagedChunks); missing > 0 {
		return fault.New(fault.Corrupted, strconv.Itoa(missing)+" staged chunks are missing or do not match their digests", "they will be staged again")
	}
	return nil
}
