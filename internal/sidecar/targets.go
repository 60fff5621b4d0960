package sidecar

import (
	"slices"
	"strconv"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// targetVersion is a version that the engine should serve, with the state of its fetch.
type targetVersion struct {
	version           int64
	requestedAt       time.Duration  // when operators requested it, at the earliest, on the boot clock
	learnedAt         time.Duration  // when this process learned of it, on the boot clock
	id                core.VersionID // in the distribution, the same at all sidecars
	manifest          *weights.Manifest
	manifestID        core.VersionID // digest of the manifest
	manifestRetryAt   time.Duration  // when the manifest may be requested again
	chunksHeld        int            // chunks held at the last check
	lastChunkAt       time.Duration  // when the last chunk arrived
	manifestDroppedAt time.Duration  // when the manifest was last dropped as possibly corrupted
	completeAt        time.Duration  // when all chunks were first staged; 0 before
	refutedBy         core.VersionID // the last manifest that a predecessor's load did not match; "" before
	suspectedID       core.VersionID // the manifest that is held but fetched again, as it may be corrupted; "" for none
	suspectedAt       time.Duration  // when a manifest was last suspected
	misstatedID       core.VersionID // the last manifest from the origin that does not agree with the configuration; "" before

	originAskedAt time.Duration // when the origin was last asked because no peer had the manifest
}

// newTarget returns a target that the process learns of now.
func newTarget(model core.Model, version int64, now time.Duration) *targetVersion {
	id := core.VersionID(string(model) + "/" + strconv.FormatInt(version, 10))
	return &targetVersion{version: version, id: id, requestedAt: now, learnedAt: now, lastChunkAt: now}
}

// nextTarget returns the newest target whose weights are complete, or else the newest one with a manifest.
func (u *updater) nextTarget() *targetVersion {
	var newestWithManifest *targetVersion
	for _, target := range slices.Backward(u.targets) {
		if target.manifest == nil {
			continue
		}
		if progress, known := u.sidecar.distributor.Progress(target.id); known && progress.Have == progress.Total {
			return target
		}
		if newestWithManifest == nil {
			newestWithManifest = target
		}
	}
	return newestWithManifest
}

func (u *updater) newestTarget() *targetVersion { return u.targets[len(u.targets)-1] }

// setTargets sets the targets to the newest version and, if the engine has not loaded it yet, the previous one. The previous
// one is left out for an engine without weights, and if it was requested within the coalesce window of the newest.
func (u *updater) setTargets(model core.Model, rollouts catalog.Rollouts, loaded int64) {
	versions := []int64{max(initialVersion, rollouts.Newest())}
	if previous := rollouts.Previous(); loaded > 0 && loaded < previous && rollouts.NewestInterval() > u.coalesceWindow() {
		versions = []int64{previous, versions[0]}
	}
	versionOf := func(target *targetVersion) int64 { return target.version }
	if u.model == model && slices.EqualFunc(u.targets, versions, func(target *targetVersion, version int64) bool { return versionOf(target) == version }) {
		return
	}
	targets := make([]*targetVersion, 0, len(versions))
	for _, version := range versions {
		i := slices.IndexFunc(u.targets, func(target *targetVersion) bool { return u.model == model && versionOf(target) == version })
		if i >= 0 {
			targets = append(targets, u.targets[i])
			continue
		}
		now := bootclock.Now()
		targets = append(targets, newTarget(model, version, now))
		entry := u.sidecar.logger.Info().Str("model", string(model)).Int64("version", version)
		if rollout, found := rollouts.Find(version); found {
			entry.Str("source", string(rollout.Source))
			if rollout.IsKnown() {
				entry.Dur("requested_before", now-rollout.RequestedAt)
			}
		}
		entry.Msg("version requested")
	}
	u.model, u.targets, u.submittedCount = model, targets, 0
	u.sidecar.follower.ReadEndpointsNow()
}

// setRequestTimes takes over the request times of the targets, of which more may be learnt later. Starts in turn have to fit into
// what is left of the bound.
func (u *updater) setRequestTimes(rollouts catalog.Rollouts) {
	for _, target := range u.targets {
		if rollout, found := rollouts.Find(target.version); found {
			target.requestedAt = rollout.RequestedAt
		}
	}
}

// coalesceWindow returns the longest time between two requested versions of which only the newer one is fetched.
func (u *updater) coalesceWindow() time.Duration {
	return time.Duration(coalesceShare * float64(u.sidecar.settings.VersionRolloutMs.Duration()))
}

// canArriveBy reports whether the weights are expected to be complete by the given time, if they take as long as those of
// the previous version did.
func (t *targetVersion) canArriveBy(at time.Duration, previous *targetVersion) bool {
	if previous.completeAt == 0 {
		return true // not known
	}
	return t.fetchedFrom()+previous.completeAt-previous.fetchedFrom() < at
}

// fetchedFrom returns when this process began to fetch the weights.
func (t *targetVersion) fetchedFrom() time.Duration { return max(t.requestedAt, t.learnedAt) }
