package admission

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Event is an input of State.Step. Times are relative to the start of the gate.
type Event interface{ admissionEvent() }

// RequestArrived asks for the admission of a request. The ID must be unique.
type RequestArrived struct {
	Now       time.Duration
	ID        uint64
	Workspace core.Workspace
	Priority  int
	Deadline  time.Duration
	Ranked    *RankedRequest // nil for a request that is admitted by Priority
}

// RankedRequest describes a request whose demand is known. Its demand replaces the other fields of RequestArrived.
type RankedRequest struct {
	Demand   Demand
	Expected Expected
	MayWait  bool // it may wait for its start; otherwise it is admitted or refused on arrival
}

// RequestWithdrawn tells that the caller of a request no longer waits for admission.
type RequestWithdrawn struct {
	Now time.Duration
	ID  uint64
}

// RequestEnded tells that an admitted request has ended. The ID may be 0 for a request without a known demand.
type RequestEnded struct {
	Now     time.Duration
	ID      uint64
	Outcome Outcome
}

// FirstEventArrived tells that the first event of a request's answer has arrived.
type FirstEventArrived struct {
	Now time.Duration
	ID  uint64
}

// Outcome tells how an admitted request ended.
type Outcome int

// The outcomes of admitted requests.
const (
	Complete    Outcome = iota // its answer was complete
	Incomplete                 // its answer was missing or not complete
	NotMeasured                // its outcome says nothing about the back end
)

// FirstByteObserved reports the time until the first byte of an answer.
type FirstByteObserved struct{ FirstByte time.Duration }

// BackendFailed tells that the back end failed a request.
type BackendFailed struct{}

// BackendTurnedCold tells that the back end is cold, for example because it has restarted or loaded weights.
type BackendTurnedCold struct{}

// BoundsChanged sets the configured limits.
type BoundsChanged struct {
	Now    time.Duration
	Bounds Bounds
}

func (RequestArrived) admissionEvent()    {}
func (RequestWithdrawn) admissionEvent()  {}
func (RequestEnded) admissionEvent()      {}
func (FirstEventArrived) admissionEvent() {}
func (FirstByteObserved) admissionEvent() {}
func (BackendFailed) admissionEvent()     {}
func (BackendTurnedCold) admissionEvent() {}
func (BoundsChanged) admissionEvent()     {}

// Decision tells that a request is admitted, or why it is refused. Each request gets exactly one.
type Decision struct {
	ID       uint64
	Reason   Reason
	Forecast time.Duration // of a request with a known demand that is refused: time until one like it would start; else 0
}

// State is the admission state of one endpoint. It is not safe for concurrent use.
type State struct {
	limiter     limiter
	queue       queue
	serviceTime serviceTime
	running     int
	ranked      rankedAdmission
	decisions   []Decision
}

// NewState returns a state that admits nothing until the bounds are set. A request with a known demand starts only if all
// constraints admit it.
func NewState(constraints ...Constraint) *State {
	return &State{queue: newQueue(), ranked: newRankedAdmission(constraints)}
}

// Step applies one event and returns the decisions that follow from it.
func (s *State) Step(event Event) []Decision {
	s.decisions = nil
	switch event := event.(type) {
	case RequestArrived:
		s.requestArrived(event)
	case RequestWithdrawn:
		s.requestWithdrawn(event)
	case RequestEnded:
		s.requestEnded(event)
	case FirstEventArrived:
		s.firstEventArrived(event)
	case FirstByteObserved:
		s.limiter.recordFirstByte(event.FirstByte)
	case BackendFailed:
		s.limiter.recordFailure()
	case BackendTurnedCold:
		s.limiter.resetToCold()
	case BoundsChanged:
		s.boundsChanged(event)
	}
	return s.decisions
}

func (s *State) decide(id uint64, reason Reason) {
	s.decisions = append(s.decisions, Decision{ID: id, Reason: reason})
}

func (s *State) requestWithdrawn(event RequestWithdrawn) {
	if s.queue.remove(event.ID) {
		s.decide(event.ID, Abandoned)
		return
	}
	s.rankedWithdrawn(event)
}

func (s *State) requestArrived(event RequestArrived) {
	if event.Ranked != nil {
		s.rankedArrived(event.Now, event.ID, *event.Ranked)
		return
	}
	if event.Deadline <= event.Now {
		s.decide(event.ID, Abandoned)
		return
	}
	if s.running < s.limiter.limit && s.queue.len() == 0 {
		s.admit(event.Now, event.ID)
		return
	}
	w := waiter{id: event.ID, workspace: event.Workspace, priority: event.Priority, deadline: event.Deadline}
	if !s.canFinish(event.Now+s.expectedWait(w), event.Deadline) {
		s.decide(event.ID, DeadlineUnreachable)
		return
	}
	displacedID, displaced := s.queue.push(w, s.limiter.bounds.Queue)
	switch {
	case !displaced:
	case displacedID == event.ID:
		s.decide(displacedID, QueueFull)
	default:
		s.decide(displacedID, Displaced)
	}
}

// serviceTimeMargin is the multiple of the mean service time that a request is assumed to run at most.
const serviceTimeMargin = 2

// expectedWait estimates how long the request would wait in the queue.
func (s *State) expectedWait(w waiter) time.Duration {
	position := time.Duration(s.queue.countAhead(w) + 1)
	return position * s.serviceTime.mean() / time.Duration(max(1, s.limiter.limit))
}

// canFinish reports whether a request that starts at the given time is expected to end before the deadline.
func (s *State) canFinish(start, deadline time.Duration) bool {
	return start+serviceTimeMargin*s.serviceTime.mean() <= deadline
}

func (s *State) admit(now time.Duration, id uint64) {
	s.serviceTime.advance(now, s.running)
	s.running++
	s.decide(id, Admitted)
}

func (s *State) requestEnded(event RequestEnded) {
	s.serviceTime.advance(event.Now, s.running)
	if event.Outcome != NotMeasured {
		s.serviceTime.recordEnd()
		s.limiter.recordAnswer(event.Outcome == Complete, s.running)
	}
	s.running--
	s.rankedEnded(event)
	s.admitWaiting(event.Now)
	s.admitRanked(event.Now)
}

func (s *State) boundsChanged(event BoundsChanged) {
	s.limiter.setBounds(event.Bounds)
	s.ranked.memory.capacity = event.Bounds.MemoryTokens
	for s.queue.len() > event.Bounds.Queue {
		s.decide(s.queue.removeLast(), QueueFull)
	}
	s.admitWaiting(event.Now)
	s.admitRanked(event.Now)
}

// admitWaiting admits waiting requests while the limit allows it. It refuses those that can no longer meet their
// deadline.
func (s *State) admitWaiting(now time.Duration) {
	for s.running < s.limiter.limit && s.queue.len() > 0 {
		next := s.queue.pop()
		if next.deadline <= now {
			s.decide(next.id, Abandoned)
			continue
		}
		if !s.canFinish(now, next.deadline) {
			s.decide(next.id, DeadlineUnreachable)
			continue
		}
		s.admit(now, next.id)
	}
}
