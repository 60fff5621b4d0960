package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// startsPerReserved is the number of starts of which one goes to the least urgent rank that waits. Without it, an
// overload of urgent requests would leave no start to the others, and their callers could not tell a busy service from one
// that is down. An eighth keeps jobs that repeat their requests moving and costs the urgent ones little.
const startsPerReserved = 8

// rankedWaiter is a request with a rank that waits for its start.
type rankedWaiter struct {
	id          uint64
	demand      Demand
	expected    Expected
	latestStart time.Duration // it is refused if it cannot start by then
}

// noWait is the latest start of a request that is admitted on arrival or not at all.
const noWait = time.Duration(-1)

// maxWait bounds how much later a request may start than its gateway decided to send it. What the gateway knew of keys, versions
// and evacuations must still hold then; their bounds are some seconds.
const maxWait = time.Second

// latestStart returns the latest start that serves the caller of a request that arrives at now. The first event must still be on
// time; a request that has come back is late already and must only end before its caller leaves. A request without an aim does
// not wait.
func (r RankedRequest) latestStart(now time.Duration) time.Duration {
	switch {
	case !r.MayWait:
		return noWait
	case r.Demand.Returned:
		return min(r.Demand.Deadline-r.Expected.Run, now+maxWait)
	case r.Demand.FirstEventBy > 0:
		return min(r.Demand.FirstEventBy-r.Expected.FirstEvent, r.Demand.Deadline-r.Expected.Run, now+maxWait)
	}
	return noWait
}

// rankedQueue holds the requests that wait for a start. It is short, so operations scan all of it. It keeps nothing about
// requests or workspaces that no longer wait.
type rankedQueue struct {
	waiters       []rankedWaiter
	starts        recentStarts
	sinceReserved int // starts since one of the least urgent rank, at most startsPerReserved-1
}

func (q *rankedQueue) len() int { return len(q.waiters) }

func (q *rankedQueue) push(w rankedWaiter) { q.waiters = append(q.waiters, w) }

// remove removes the waiter with the ID, and reports whether it was in the queue.
func (q *rankedQueue) remove(id uint64) bool {
	position := slices.IndexFunc(q.waiters, func(w rankedWaiter) bool { return w.id == id })
	if position < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, position, position+1)
	return true
}

// order returns the waiters in the order in which they start if no other request arrives. The counts are the running requests
// of each workspace.
func (q *rankedQueue) order(running map[core.Workspace]int) []rankedWaiter {
	running = maps.Clone(running)
	sinceReserved := q.sinceReserved
	left := slices.Clone(q.waiters)
	ordered := make([]rankedWaiter, 0, len(left))
	for len(left) > 0 {
		next := nextToStart(left, running, isReserved(sinceReserved))
		sinceReserved = q.countStart(sinceReserved, left[next].demand.Rank, left)
		running[left[next].demand.Workspace]++
		ordered = append(ordered, left[next])
		left = slices.Delete(left, next, next+1)
	}
	return ordered
}

// start removes the waiter, which starts now, and counts it towards the reserved starts.
func (q *rankedQueue) start(w rankedWaiter) {
	q.sinceReserved = q.countStart(q.sinceReserved, w.demand.Rank, q.waiters)
	q.starts.record(w.demand.Rank)
	q.remove(w.id)
}

func isReserved(sinceReserved int) bool { return sinceReserved >= startsPerReserved-1 }

// countStart returns the number of starts since the last one of the least urgent rank, after a start at the given rank while the
// waiters wait. It looks at recent starts too, since the forecast keeps ranks that have no chance now out of the queue.
func (q *rankedQueue) countStart(sinceReserved, rank int, waiters []rankedWaiter) int {
	lessUrgentWaits := slices.ContainsFunc(waiters, func(w rankedWaiter) bool { return w.demand.Rank > rank })
	if !lessUrgentWaits && q.starts.isLeastUrgent(rank) {
		return 0
	}
	return min(sinceReserved+1, startsPerReserved-1)
}

// nextToStart returns the position of the waiter that starts next.
func nextToStart(waiters []rankedWaiter, running map[core.Workspace]int, reserved bool) int {
	next := 0
	for i, w := range waiters {
		if startsBefore(w, waiters[next], running, reserved) {
			next = i
		}
	}
	return next
}

// startsBefore reports whether a starts before b: by rank, then those that have come back, then the workspace with fewer running
// requests, then arrival. A reserved start reverses the order of the ranks.
func startsBefore(a, b rankedWaiter, running map[core.Workspace]int, reserved bool) bool {
	if a.demand.Rank != b.demand.Rank {
		return (a.demand.Rank < b.demand.Rank) != reserved
	}
	if a.demand.Returned != b.demand.Returned {
		return a.demand.Returned
	}
	if countA, countB := running[a.demand.Workspace], running[b.demand.Workspace]; countA != countB {
		return countA < countB
	}
	return a.id < b.id
}
