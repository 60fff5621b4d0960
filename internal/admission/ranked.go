package admission

import (
	"slices"
	"time"
)

// rankedAdmission is the part of State that admits requests whose demand is known.
type rankedAdmission struct {
	queue       rankedQueue
	running     runningTable
	memory      *memoryLimit
	constraints []Constraint // includes memory
}

func newRankedAdmission(constraints []Constraint) rankedAdmission {
	memory := newMemoryLimit()
	return rankedAdmission{running: newRunningTable(), memory: memory, constraints: append(slices.Clip(constraints), memory)}
}

func (r *rankedAdmission) admits(demand Demand, now time.Duration) bool {
	return !slices.ContainsFunc(r.constraints, func(c Constraint) bool { return !c.Admits(demand, now) })
}

func (r *rankedAdmission) canEverAdmit(demand Demand) bool {
	return !slices.ContainsFunc(r.constraints, func(c Constraint) bool { return !c.CanEverAdmit(demand) })
}

func (s *State) rankedArrived(now time.Duration, id uint64, request RankedRequest) {
	w := rankedWaiter{id: id, demand: request.Demand, expected: request.Expected, latestStart: request.latestStart(now)}
	switch {
	case request.Demand.Deadline <= now:
		s.decide(id, Abandoned)
		return
	case !s.ranked.canEverAdmit(request.Demand):
		s.decide(id, TooLarge)
		return
	}
	s.ranked.queue.push(w)
	s.startRanked(now)
	s.refuseLate(now, id)
}

func (s *State) rankedWithdrawn(event RequestWithdrawn) {
	forecast := s.forecastOf(event.ID, event.Now)
	position := slices.IndexFunc(s.ranked.queue.waiters, func(w rankedWaiter) bool { return w.id == event.ID })
	if position < 0 {
		return
	}
	reason := Abandoned
	if s.ranked.queue.waiters[position].latestStart <= event.Now {
		reason = NoRoomInTime
	}
	s.ranked.queue.remove(event.ID)
	s.decisions = append(s.decisions, Decision{ID: event.ID, Reason: reason, Forecast: forecast})
}

func (s *State) firstEventArrived(event FirstEventArrived) {
	for _, constraint := range s.ranked.constraints {
		constraint.FirstEvent(event.ID, event.Now)
	}
	s.admitRanked(event.Now)
}

func (s *State) rankedEnded(event RequestEnded) {
	s.ranked.running.end(event.ID, event.Now, event.Outcome == Complete)
	for _, constraint := range s.ranked.constraints {
		constraint.End(event.ID)
	}
}

// admitRanked starts waiting requests and refuses those that can no longer start in time.
func (s *State) admitRanked(now time.Duration) {
	s.startRanked(now)
	s.refuseLate(now, 0)
}

// startRanked starts waiting requests in their order while the limit and the constraints allow it.
func (s *State) startRanked(now time.Duration) {
	for s.running < s.limiter.limit {
		next, found := s.nextRanked(now)
		if !found {
			break
		}
		s.ranked.queue.start(next)
		s.ranked.running.begin(next.id, runningRequest{demand: next.demand, expected: next.expected, began: now})
		for _, constraint := range s.ranked.constraints {
			constraint.Begin(next.id, next.demand, now)
		}
		s.admit(now, next.id)
	}
}

// nextRanked returns the first waiter that all constraints admit.
func (s *State) nextRanked(now time.Duration) (rankedWaiter, bool) {
	if s.ranked.queue.len() == 0 {
		return rankedWaiter{}, false
	}
	for _, w := range s.ranked.queue.order(s.ranked.running.countByWorkspace()) {
		if s.ranked.admits(w.demand, now) {
			return w, true
		}
	}
	return rankedWaiter{}, false
}

// refuseLate refuses the waiters that cannot start in time behind the others, and those for which the queue is too long. Each
// refusal moves the others forward, so the last of them is refused first. The newcomer's start must be expected in time; one that
// waits already is not refused because a running request takes somewhat longer than expected.
func (s *State) refuseLate(now time.Duration, newcomer uint64) {
	for s.ranked.queue.len() > 0 {
		ordered := s.ranked.queue.order(s.ranked.running.countByWorkspace())
		expected := s.startForecasts(now, len(ordered), overrunShare)
		earliest := s.startForecasts(now, len(ordered), 0)
		late := -1
		for i, w := range ordered {
			start := earliest[i]
			if w.id == newcomer {
				start = expected[i]
			}
			if i >= s.limiter.limit || start > w.latestStart {
				late = i
			}
		}
		if late < 0 {
			return
		}
		w := ordered[late]
		s.ranked.queue.remove(w.id)
		s.decisions = append(s.decisions, Decision{ID: w.id, Reason: NoRoomInTime, Forecast: s.stretched(expected[late]-now, w.demand.Rank)})
	}
}

// forecastOf returns the expected time until the waiter starts; 0 if it does not wait.
func (s *State) forecastOf(id uint64, now time.Duration) time.Duration {
	ordered := s.ranked.queue.order(s.ranked.running.countByWorkspace())
	for i, start := range s.startForecasts(now, len(ordered), overrunShare) {
		if ordered[i].id == id {
			return s.stretched(start-now, ordered[i].demand.Rank)
		}
	}
	return 0
}

// startForecasts returns when the next count waiters are expected to start, in their order: each when a running request ends.
// That holds also while slots are free, since then a constraint holds the waiters up, which the end of a request may lift. The
// overrun is that of runningTable.expectedEnds.
func (s *State) startForecasts(now time.Duration, count int, overrun float64) []time.Duration {
	ends := s.ranked.running.expectedEnds(now, overrun)
	for range s.running - len(ends) { // requests of unknown demand
		ends = append(ends, now+s.serviceTime.mean())
	}
	slices.Sort(ends)
	if len(ends) > s.limiter.limit {
		ends = ends[len(ends)-s.limiter.limit:] // the limit has decreased; earlier ends free no slot
	}
	starts := make([]time.Duration, count)
	for i := range starts {
		if len(ends) == 0 {
			starts[i] = now + time.Duration(i)*s.serviceTime.mean()
			continue
		}
		round := time.Duration(i / len(ends))
		starts[i] = ends[i%len(ends)] + round*s.serviceTime.mean()
	}
	return starts
}

// stretched returns a forecast for the rank that allows for more urgent requests which arrive meanwhile: they are expected to
// take the same share of the starts as lately, but none of the reserved starts.
func (s *State) stretched(forecast time.Duration, rank int) time.Duration {
	left := max(1-s.ranked.queue.starts.moreUrgentShare(rank), 1.0/startsPerReserved)
	return time.Duration(float64(forecast) / left)
}
