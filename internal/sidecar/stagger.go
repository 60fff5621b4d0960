package sidecar

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Before an engine loads a version, it takes no new requests until the running ones have ended. The engines of a service
// therefore start at staggered times, spread over the part of the bound that is left once the weights have arrived. This
// keeps a service that runs at two thirds of its capacity available while all its engines change within a few seconds.
const (
	earliestStartShare = 0.35 // of the bound; weights reach every host in about a third of it
	latestStartShare   = 0.85 // of the bound; an engine needs the rest to finish its running requests
)

// staggerPosition returns the host's position in the start order, from 0 for the first to 1 for the last. The order is
// reversed with each version, so that the last hosts for one version are the first for the next and may skip a version.
func staggerPosition(self core.HostID, hosts []core.HostID, version int64) float64 {
	if len(hosts) < 2 {
		return 0
	}
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b core.HostID) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	position := float64(slices.Index(order, self)) / float64(len(order)-1)
	if version%2 == 1 {
		return 1 - position
	}
	return position
}

// drainDeadlineAt returns when an engine must have no requests while its weights still arrive: at loadStart, or when the
// weights are expected to be complete if that is later. An earlier deadline would waste the engine's capacity.
func drainDeadlineAt(loadStart, now, remaining time.Duration) time.Duration {
	return max(loadStart, now+remaining)
}

// staggeredStart returns when the host at the position may start to load a version that was requested at requestedAt and
// has to be served within the bound. The deadline is when the host has to stop serving its older version.
func staggeredStart(requestedAt, deadline, bound time.Duration, position float64) time.Duration {
	share := earliestStartShare + position*(latestStartShare-earliestStartShare)
	start := requestedAt + time.Duration(share*float64(bound))
	latest := deadline - time.Duration((1-latestStartShare)*float64(bound))
	return min(start, latest)
}
