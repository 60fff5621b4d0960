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

// before tells whether the waiter goes before the other one: by priority, then deadline, then arrival.
func (w waiter) before(other waiter) bool {
	if w.priority != other.priority {
		return w.priority > other.priority
	}
	if w.deadline != other.deadline {
		return w.deadline < other.deadline
	}
	return w.id < other.id
}

// queue holds the waiting requests. It is short, so each operation reads all of it.
type queue struct {
	waiters []waiter
	shares  shares
}

func newQueue() queue { return queue{shares: make(shares)} }

func (q *queue) len() int { return len(q.waiters) }

// ahead estimates how many waiters go before w: those that would by order alone, but of other workspaces no more than
// their shares let through.
func (q *queue) ahead(w waiter) int {
	all, own := 0, 0
	workspaces := map[core.Workspace]bool{w.workspace: true}
	for _, other := range q.waiters {
		workspaces[other.workspace] = true
		if !other.before(w) {
			continue
		}
		all++
		if other.workspace == w.workspace {
			own++
		}
	}
	return min(all, (own+1)*len(workspaces)-1+maxLead)
}

// push adds the waiter. When the queue is full, one request has to go, which may be the new one: displaced is then true
// and out names it.
func (q *queue) push(w waiter, capacity int) (out uint64, displaced bool) {
	if q.len() >= capacity {
		victim := q.victim(w)
		if victim < 0 {
			return w.id, true
		}
		out, displaced = q.waiters[victim].id, true
		q.take(victim)
	}
	q.shares.join(w.workspace, q.waiters)
	q.waiters = append(q.waiters, w)
	return out, displaced
}

// victim returns the position of the waiter that has to go for w, or -1. The last request of the workspace with the
// most waiters goes if that workspace still has as many as w's own, or if w has a higher priority; else the last one
// of w's own workspace if w has a higher priority.
func (q *queue) victim(w waiter) int {
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
	last := q.last(largest)
	if last < 0 {
		return -1
	}
	if counts[largest] > counts[w.workspace]+1 || w.priority > q.waiters[last].priority {
		return last
	}
	if own := q.last(w.workspace); own >= 0 && w.priority > q.waiters[own].priority {
		return own
	}
	return -1
}

// last returns the position of the workspace's waiter that would go last, or -1.
func (q *queue) last(workspace core.Workspace) int {
	found := -1
	for i, other := range q.waiters {
		if other.workspace == workspace && (found < 0 || q.waiters[found].before(other)) {
			found = i
		}
	}
	return found
}

// pop removes and returns the waiter that goes next: the first one of the workspaces that are not ahead of their share.
func (q *queue) pop() waiter {
	found := -1
	for i, other := range q.waiters {
		if !q.shares.mayGo(other.workspace, q.waiters) {
			continue
		}
		if found < 0 || other.before(q.waiters[found]) {
			found = i
		}
	}
	next := q.waiters[found]
	q.shares.granted(next.workspace)
	q.take(found)
	return next
}

// remove takes a waiter out, and tells whether it was there.
func (q *queue) remove(id uint64) bool {
	position := slices.IndexFunc(q.waiters, func(w waiter) bool { return w.id == id })
	if position < 0 {
		return false
	}
	q.take(position)
	return true
}

// dropLast takes out the waiter that would go last of all, and returns its id.
func (q *queue) dropLast() uint64 {
	found := 0
	for i, other := range q.waiters {
		if q.waiters[found].before(other) {
			found = i
		}
	}
	id := q.waiters[found].id
	q.take(found)
	return id
}

func (q *queue) take(position int) {
	q.waiters = slices.Delete(q.waiters, position, position+1)
	if len(q.waiters) == 0 {
		clear(q.shares)
	}
}
