package admission

import (
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// waiter is a request in the queue.
type waiter struct {
	id        uint64
	workspace core.Workspace
	priority  int
	deadline  time.Duration
}

// before reports whether the waiter ranks before the other: by higher priority, then earlier deadline, then arrival.
func (w waiter) before(other waiter) bool {
	if w.priority != other.priority {
		return w.priority > other.priority
	}
	if w.deadline != other.deadline {
		return w.deadline < other.deadline
	}
	return w.id < other.id
}

// queue holds the waiting requests. It is short, so operations scan all of it.
type queue struct {
	waiters []waiter
	grants  grantCounts
}

func newQueue() queue { return queue{grants: make(grantCounts)} }

func (q *queue) len() int { return len(q.waiters) }

// countAhead estimates how many waiters will be admitted before w. It counts those that rank before w, bounded by
// what fair sharing between the workspaces lets pass.
func (q *queue) countAhead(w waiter) int {
	allAhead, ownAhead := 0, 0
	workspaces := map[core.Workspace]bool{w.workspace: true}
	for _, other := range q.waiters {
		workspaces[other.workspace] = true
		if !other.before(w) {
			continue
		}
		allAhead++
		if other.workspace == w.workspace {
			ownAhead++
		}
	}
	return min(allAhead, (ownAhead+1)*len(workspaces)-1+maxGrantLead)
}

// push adds the waiter. If the queue is full, it removes one waiter or rejects w, and returns the ID of that request
// and true.
func (q *queue) push(w waiter, capacity int) (displacedID uint64, displaced bool) {
	if q.len() >= capacity {
		victim := q.evictionCandidate(w)
		if victim < 0 {
			return w.id, true
		}
		displacedID, displaced = q.waiters[victim].id, true
		q.removeAt(victim)
	}
	q.grants.addWorkspace(w.workspace, q.waiters)
	q.waiters = append(q.waiters, w)
	return displacedID, displaced
}

// evictionCandidate returns the position of the waiter to remove in favor of w, or -1 if there is none. It is the
// last waiter of the workspace with the most waiters if w has a higher priority, or if after the exchange that
// workspace would still have at least as many waiters as w's workspace. Otherwise it is the last waiter of w's own
// workspace if w has a higher priority.
func (q *queue) evictionCandidate(w waiter) int {
	counts := make(map[core.Workspace]int)
	for _, other := range q.waiters {
		counts[other.workspace]++
	}
	largest := w.workspace
	for _, other := range q.waiters {
		if counts[other.workspace] > counts[largest] {
			largest = other.workspace
		}
	}
	last := q.lastOfWorkspace(largest)
	if last < 0 {
		return -1
	}
	if counts[largest] > counts[w.workspace]+1 || w.priority > q.waiters[last].priority {
		return last
	}
	if own := q.lastOfWorkspace(w.workspace); own >= 0 && w.priority > q.waiters[own].priority {
		return own
	}
	return -1
}

// lastOfWorkspace returns the position of the workspace's lowest-ranked waiter, or -1.
func (q *queue) lastOfWorkspace(workspace core.Workspace) int {
	last := -1
	for i, other := range q.waiters {
		if other.workspace == workspace && (last < 0 || q.waiters[last].before(other)) {
			last = i
		}
	}
	return last
}

// pop removes and returns the highest-ranked waiter among the workspaces that fair sharing allows.
func (q *queue) pop() waiter {
	first := -1
	for i, other := range q.waiters {
		if !q.grants.mayBeGranted(other.workspace, q.waiters) {
			continue
		}
		if first < 0 || other.before(q.waiters[first]) {
			first = i
		}
	}
	next := q.waiters[first]
	q.grants.recordGrant(next.workspace)
	q.removeAt(first)
	return next
}

// remove removes the waiter with the ID, and reports whether it was in the queue.
func (q *queue) remove(id uint64) bool {
	position := slices.IndexFunc(q.waiters, func(w waiter) bool { return w.id == id })
	if position < 0 {
		return false
	}
	q.removeAt(position)
	return true
}

// removeLast removes the lowest-ranked waiter and returns its ID.
func (q *queue) removeLast() uint64 {
	last := 0
	for i, other := range q.waiters {
		if q.waiters[last].before(other) {
			last = i
		}
	}
	id := q.waiters[last].id
	q.removeAt(last)
	return id
}

// removeAt removes the waiter at the position, and resets the grant counts when the queue becomes empty.
func (q *queue) removeAt(position int) {
	q.waiters = slices.Delete(q.waiters, position, position+1)
	if len(q.waiters) == 0 {
		clear(q.grants)
	}
}
