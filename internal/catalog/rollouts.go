package catalog

import (
	"cmp"
	"slices"
	"time"
)

// RolloutSource tells by whose word the time of a request for a version is known.
type RolloutSource string

// The sources of request times.
const (
	RolloutUnknown  RolloutSource = "unknown"  // nobody knows; the version counts as requested long ago
	RolloutRecord   RolloutSource = "record"   // the record in the platform's store
	RolloutOwnRead  RolloutSource = "own read" // this process's reads of the operators' table
	RolloutDelegate RolloutSource = "delegate" // a delegate
	RolloutRelay    RolloutSource = "relay"    // a follower that read the store for this delegate
)

// UnknownAge is the age of a request of which nobody knows the time. It is longer than any bound.
const UnknownAge = time.Duration(1 << 60)

// Rollout is a model version that operators requested for all engines of the model. The request was made between the two
// times, which are on one clock: the boot clock, unless stated otherwise.
type Rollout struct {
	Version     int64
	RequestedAt time.Duration // earliest possible time of the request
	SeenAt      time.Duration // earliest time at which a process is known to have read it; 0 if unknown
	Source      RolloutSource // of RequestedAt
}

// IsKnown reports whether anything is known of the time of the request.
func (r Rollout) IsKnown() bool { return r.RequestedAt > -UnknownAge/2 }

// merge returns what two sources together know of the request for one version. Of two lower bounds, the later one is closer
// to the truth, unless a process had read the version before it: then the earlier one holds.
func (r Rollout) merge(other Rollout) Rollout {
	if other.SeenAt < r.SeenAt {
		r.SeenAt = other.SeenAt
	}
	earlier, later := r, other
	if other.RequestedAt < r.RequestedAt {
		earlier, later = other, r
	}
	best := later
	if later.RequestedAt > r.SeenAt {
		best = earlier
	}
	r.RequestedAt, r.Source = best.RequestedAt, best.Source
	return r
}

const (
	// maxRollouts is how many requested versions of a model are kept. The records and the messages that carry them are small.
	maxRollouts = 64
	// rolloutRetention is how long a version is kept after a newer one was requested. It is longer than any bound.
	rolloutRetention = 5 * time.Minute
)

// Rollouts holds the requested versions of a model in ascending order. It must not be modified.
type Rollouts []Rollout

// With returns a copy that includes what is known of the requested version.
func (r Rollouts) With(rollout Rollout) Rollouts {
	extended := slices.Clone(r)
	i, found := slices.BinarySearchFunc(extended, rollout.Version, func(r Rollout, version int64) int { return cmp.Compare(r.Version, version) })
	if found {
		extended[i] = extended[i].merge(rollout)
	} else {
		extended = slices.Insert(extended, i, rollout)
	}
	return extended.ordered().pruned()
}

// ordered raises lower bounds to that of the version before, since versions are requested in ascending order.
func (r Rollouts) ordered() Rollouts {
	for i := 1; i < len(r); i++ {
		if before := r[i-1]; before.RequestedAt > r[i].RequestedAt && before.RequestedAt <= r[i].SeenAt {
			r[i].RequestedAt, r[i].Source = before.RequestedAt, before.Source
		}
	}
	return r
}

// pruned drops the oldest versions. The version after a dropped one takes over its times, so that no deadline moves back.
func (r Rollouts) pruned() Rollouts {
	for len(r) > maxRollouts || len(r) > 1 && r[1].RequestedAt+rolloutRetention < r[len(r)-1].RequestedAt {
		r[1].RequestedAt, r[1].SeenAt, r[1].Source = min(r[0].RequestedAt, r[1].RequestedAt), min(r[0].SeenAt, r[1].SeenAt), r[0].Source
		r = r[1:]
	}
	return r
}

// Newest returns the newest requested version; 0 if there is none.
func (r Rollouts) Newest() int64 {
	if len(r) == 0 {
		return 0
	}
	return r[len(r)-1].Version
}

// Previous returns the version that was requested before the newest one; 0 if there is none.
func (r Rollouts) Previous() int64 {
	if len(r) < 2 {
		return 0
	}
	return r[len(r)-2].Version
}

// NewestInterval returns the time between the two newest requests; 0 if there are fewer than two.
func (r Rollouts) NewestInterval() time.Duration {
	if len(r) < 2 {
		return 0
	}
	return r[len(r)-1].RequestedAt - r[len(r)-2].RequestedAt
}

// MinVersion returns the oldest version that may still run the model's requests at the time now; 0 for any. A version has
// to be replaced within the bound after a newer one was requested.
func (r Rollouts) MinVersion(now, bound time.Duration) int64 {
	minVersion := int64(0)
	for _, rollout := range r {
		if rollout.RequestedAt+bound <= now {
			minVersion = rollout.Version
		}
	}
	return minVersion
}

// Find returns the rollout of the version; false if it is not kept.
func (r Rollouts) Find(version int64) (Rollout, bool) {
	for _, rollout := range r {
		if rollout.Version == version {
			return rollout, true
		}
	}
	return Rollout{}, false
}

// Deadline returns the deadline by which an engine has to stop serving the version; false if no newer version is requested.
func (r Rollouts) Deadline(version int64, bound time.Duration) (deadline time.Duration, replaced bool) {
	for _, rollout := range r {
		if due := rollout.RequestedAt + bound; rollout.Version > version && (!replaced || due < deadline) {
			deadline, replaced = due, true
		}
	}
	return deadline, replaced
}
