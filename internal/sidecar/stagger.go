package sidecar

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
)

// An engine that changes its weights takes nothing new until its running requests have ended. So the engines of a
// service take turns, spread over the part of the bound that is left once the weights have arrived. The load that this
// answers is a service at two thirds of its capacity whose engines all change within a bound of some seconds.
const (
	earliestStartShare = 0.35 // of the bound: weights reach every host in about a third of it
	latestStartShare   = 0.85 // of the bound: an engine needs the rest to end what it runs
)

// placeInTurn returns the host's place among the hosts, from 0 for the first to 1 for the last. The order is turned
// round with each version, so that hosts which come late for one are the first for the next, and may leave one out.
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

// emptyAt returns when an engine has to be empty for its turn while its weights still arrive. An engine that refuses
// requests before it can load runs at a part of its capacity for nothing.
func drainDeadlineAt(loadStart, now, remaining time.Duration) time.Duration {
	return max(loadStart, now+remaining)
}

// turnAt returns when a host may begin to change to a version that was named at the moment, within the bound. Due is
// when it has to leave an older version at the latest.
func staggeredStart(requestedAt, deadline, bound time.Duration, position float64) time.Duration {
	share := earliestStartShare + position*(latestStartShare-earliestStartShare)
	start := requestedAt + time.Duration(share*float64(bound))
	latest := deadline - time.Duration((1-latestStartShare)*float64(bound))
	return min(start, latest)
}
