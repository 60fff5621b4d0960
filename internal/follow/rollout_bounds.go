package follow

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
)

// maxReadGap is the longest time between an answer and the next read of a process that reads continuously.
const maxReadGap = 20 * time.Millisecond

// earliest returns the earliest possible time of a request for a version that the read lists after its cursor. It was requested
// after the read before, if that was no further than the cursor, whoever read the cursor. A store that held the read answered
// as soon as there was a change; a read that may have reached it late is not counted as held.
func (r *RolloutRecorder) earliest(read storeRead, since Cursor, wait time.Duration, changes OperatorChanges) time.Duration {
	earliest := -catalog.UnknownAge
	if !since.Valid || changes.Full {
		return earliest
	}
	last := r.last.cursor
	if last.Valid && last.Era == since.Era && since.Era == changes.Cursor.Era && !isLater(last, since) {
		earliest = r.last.storeTime - maxFeedDelay
	}
	if r.wasHeld(read, wait) {
		earliest = max(earliest, read.storeTime-maxFeedDelay)
	}
	return earliest
}

// wasHeld reports whether the store held the read until there was a change. The read must have been sent just after the answer to the
// one before, on the clocks of both sides.
func (r *RolloutRecorder) wasHeld(read storeRead, wait time.Duration) bool {
	took := read.received - read.sent
	if took <= maxFeedDelay || took > wait+maxFeedDelay || r.last.received == 0 {
		return false
	}
	gap, storeGap := read.sent-r.last.received, read.storeTime-r.last.storeTime-took
	return max(gap, storeGap) <= maxReadGap
}

// earliestByCoverage returns the earliest possible time of the request for a version that was not known. Versions are requested in
// ascending order, so one that is newer than all known ones was requested after the last read up to r.covered. A restored store
// may list an older one.
func (r *RolloutRecorder) earliestByCoverage(model core.Model, version int64) time.Duration {
	if !r.covered.Valid || version < r.rollouts[model].Newest() {
		return -catalog.UnknownAge
	}
	return r.asOf
}

// earliestByView returns the earliest possible time of the request by the view of this process: what it states of the version, or the
// time up to which it includes all changes.
func (r *RolloutRecorder) earliestByView(read storeRead, model core.Model, version int64) time.Duration {
	if r.follower == nil {
		return -catalog.UnknownAge
	}
	asOf := time.Duration(r.follower.asOf.Load()) // before the view, which is never older
	requestedAt := asOf
	known := r.follower.View().Rollouts[model]
	if rollout, found := known.Find(version); found {
		requestedAt = rollout.RequestedAt
	} else if version < known.Newest() {
		return -catalog.UnknownAge
	}
	if asOf == 0 || !(catalog.Rollout{RequestedAt: requestedAt}).IsKnown() {
		return -catalog.UnknownAge
	}
	return read.storeTime - (read.received - requestedAt)
}

// convert converts the times to the clock of a restored store, at its first read. The rows of the copy are not used for times, and
// are written anew. The caller must hold r.mu.
func (r *RolloutRecorder) convert(read storeRead) {
	atMost, atLeast := read.received-r.last.sent, max(0, read.sent-r.last.received) // passed since the last read
	for model, rollouts := range r.rollouts {
		var converted catalog.Rollouts
		for _, rollout := range rollouts {
			if rollout.IsKnown() {
				rollout.RequestedAt = read.storeTime - atMost - (r.last.storeTime - rollout.RequestedAt)
			}
			rollout.SeenAt = read.storeTime - atLeast - (r.last.storeTime - rollout.SeenAt)
			converted = converted.With(rollout)
		}
		r.rollouts[model] = converted
	}
	clear(r.recorded)
	r.asOf = read.storeTime - atMost - (r.last.storeTime - r.asOf)
}
