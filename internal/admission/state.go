package admission

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Event is what the reducer is stepped by. Times are since the gate's start.
type Event interface{ admissionEvent() }

// Offered brings a request that asks for admission. Its ID is used once.
type Offered struct {
	Now       time.Duration
	ID        uint64
	Workspace core.Workspace
	Priority  int
	Deadline  time.Duration
}

// Withdrawn says that a request waits no longer.
type Withdrawn struct{ ID uint64 }

// Left says that an admitted request has ended.
type Left struct {
	Now time.Duration
	End End
}

// End says how an admitted request ended.
type End int

// The ends of admitted requests.
const (
	Whole  End = iota // its answer was whole
	Broken            // its answer was not whole
	Unused            // it says nothing of the back end
)

// Observed brings the time until an answer began.
type Observed struct{ FirstByte time.Duration }

// Failed says that the back end failed a request.
type Failed struct{}

// TurnedCold says that the back end is cold.
type TurnedCold struct{}

// BoundsChanged brings declared limits.
type BoundsChanged struct {
	Now    time.Duration
	Bounds Bounds
}

func (Offered) admissionEvent()       {}
func (Withdrawn) admissionEvent()     {}
func (Left) admissionEvent()          {}
func (Observed) admissionEvent()      {}
func (Failed) admissionEvent()        {}
func (TurnedCold) admissionEvent()    {}
func (BoundsChanged) admissionEvent() {}

// Verdict tells a request that it is admitted, or why it is refused. Each offered request gets exactly one.
type Verdict struct {
	ID     uint64
	Reason Reason
}

// State is the reducer's state.
type State struct {
	limiter  limiter
	queue    queue
	service  serviceTime
	running  int
	verdicts []Verdict
}

// NewState returns the state of an endpoint that admits nothing until bounds are set.
func NewState() *State { return &State{queue: newQueue()} }

// Step takes one event and returns the verdicts that follow from it.
func (s *State) Step(event Event) []Verdict {
	s.verdicts = nil
	switch event := event.(type) {
	case Offered:
		s.offered(event)
	case Withdrawn:
		if s.queue.remove(event.ID) {
			s.decide(event.ID, Gone)
		}
	case Left:
		s.left(event)
	case Observed:
		s.limiter.observe(event.FirstByte)
	case Failed:
		s.limiter.failed()
	case TurnedCold:
		s.limiter.turnCold()
	case BoundsChanged:
		s.boundsChanged(event)
	}
	return s.verdicts
}

func (s *State) decide(id uint64, reason Reason) {
	s.verdicts = append(s.verdicts, Verdict{ID: id, Reason: reason})
}

func (s *State) offered(event Offered) {
	if event.Deadline <= event.Now {
		s.decide(event.ID, Gone)
		return
	}
	if s.running < s.limiter.limit && s.queue.len() == 0 {
		s.admit(event.Now, event.ID)
		return
	}
	w := waiter{id: event.ID, workspace: event.Workspace, priority: event.Priority, deadline: event.Deadline}
	if !s.canEnd(event.Now+s.expectedWait(w), event.Deadline) {
		s.decide(event.ID, TooLate)
		return
	}
	out, displaced := s.queue.push(w, s.limiter.bounds.Queue)
	switch {
	case !displaced:
	case out == event.ID:
		s.decide(out, Full)
	default:
		s.decide(out, Displaced)
	}
}

// serviceMargin is the multiple of the mean service time that a request is expected to run at the most.
const serviceMargin = 2

// expectedWait is how long the request would wait, as far as service times are known.
func (s *State) expectedWait(w waiter) time.Duration {
	turn := time.Duration(s.queue.ahead(w) + 1)
	return turn * s.service.mean() / time.Duration(max(1, s.limiter.limit))
}

// canEnd tells whether a request that starts then may be expected to end before the deadline.
func (s *State) canEnd(start, deadline time.Duration) bool {
	return start+serviceMargin*s.service.mean() <= deadline
}

func (s *State) admit(now time.Duration, id uint64) {
	s.service.advance(now, s.running)
	s.running++
	s.decide(id, Admitted)
}

func (s *State) left(event Left) {
	s.service.advance(event.Now, s.running)
	if event.End != Unused {
		s.service.ended()
		s.limiter.answered(event.End == Whole, s.running)
	}
	s.running--
	s.grant(event.Now)
}

func (s *State) boundsChanged(event BoundsChanged) {
	s.limiter.setBounds(event.Bounds)
	for s.queue.len() > event.Bounds.Queue {
		s.decide(s.queue.dropLast(), Full)
	}
	s.grant(event.Now)
}

// grant admits waiting requests while there is room. One that cannot make its deadline any more is refused.
func (s *State) grant(now time.Duration) {
	for s.running < s.limiter.limit && s.queue.len() > 0 {
		next := s.queue.pop()
		if next.deadline <= now {
			s.decide(next.id, Gone)
			continue
		}
		if !s.canEnd(now, next.deadline) {
			s.decide(next.id, TooLate)
			continue
		}
		s.admit(now, next.id)
	}
}
