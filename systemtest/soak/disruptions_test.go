package soak

import (
	"sync"
	"testing"
	"time"
)

const (
	// allProcesses is the target of disruptions that concern all processes.
	allProcesses = "everyone"
	// stallThreshold of this process's own timer shows that the machine gave no processor time: all processes may have been
	// held up as by a suspension.
	stallThreshold     = 150 * time.Millisecond
	stallCheckInterval = 10 * time.Millisecond
	// settleTime is how long a process must have been undisturbed for bounds to hold.
	settleTime = 3 * time.Second
)

// disruption is a disruption of a target; a zero end is one that goes on.
type disruption struct {
	target   string
	from, to time.Time
}

// disruptions remembers when which process was disturbed. It is safe for concurrent use.
type disruptions struct {
	mu   sync.Mutex
	list []*disruption
}

func newDisruptions(t testing.TB) *disruptions {
	d := &disruptions{}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go d.watchForStalls(done)
	return d
}

// watchForStalls notes the times in which this process's timer was late.
func (d *disruptions) watchForStalls(done chan struct{}) {
	previous := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(stallCheckInterval):
		}
		now := time.Now()
		if now.Sub(previous) > stallThreshold {
			d.add(&disruption{target: allProcesses, from: previous, to: now})
		}
		previous = now
	}
}

func (d *disruptions) add(s *disruption) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, s)
}

// begin notes a disruption of the target; the function ends it.
func (d *disruptions) begin(target string) (end func()) {
	s := &disruption{target: target, from: time.Now()}
	d.add(s)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		s.to = time.Now()
	}
}

// undisturbed tells whether the target was undisturbed for a while before the moment.
func (d *disruptions) undisturbed(target string, at time.Time) bool {
	return d.undisturbedBetween(target, at.Add(-settleTime), at)
}

// undisturbedBetween tells whether the target was undisturbed from the first time to the second.
func (d *disruptions) undisturbedBetween(target string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.list {
		concerns := s.target == target || s.target == allProcesses
		if concerns && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}

// stalledSince returns for how long everyone was disturbed since the time.
func (d *disruptions) stalledSince(since time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var stalled time.Duration
	for _, s := range d.list {
		if s.target == allProcesses && s.from.After(since) && !s.to.IsZero() {
			stalled += s.to.Sub(s.from)
		}
	}
	return stalled
}
