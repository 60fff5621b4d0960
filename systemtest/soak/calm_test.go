package soak

import (
	"sync"
	"testing"
	"time"
)

const (
	// everyone is the target of disruptions that concern all processes.
	everyone = "everyone"
	// stallLimit of this process's own timer shows that the machine gave no processor time: all processes may have been
	// held up as by a suspension.
	stallLimit = 150 * time.Millisecond
	stallTick  = 10 * time.Millisecond
	// settle is how long a process must have been undisturbed for bounds to hold.
	settle = 3 * time.Second
)

// span is a disruption of a target; a zero end is one that goes on.
type span struct {
	target   string
	from, to time.Time
}

// disruptions remembers when which process was disturbed. It is safe for concurrent use.
type disruptions struct {
	mu    sync.Mutex
	spans []*span
}

func newDisruptions(t testing.TB) *disruptions {
	d := &disruptions{}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go d.watchMachine(done)
	return d
}

// watchMachine notes the times in which this process's timer was late.
func (d *disruptions) watchMachine(done chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(stallTick):
		}
		now := time.Now()
		if now.Sub(last) > stallLimit {
			d.add(&span{target: everyone, from: last, to: now})
		}
		last = now
	}
}

func (d *disruptions) add(s *span) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans = append(d.spans, s)
}

// begin notes a disruption of the target; the function ends it.
func (d *disruptions) begin(target string) (end func()) {
	s := &span{target: target, from: time.Now()}
	d.add(s)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		s.to = time.Now()
	}
}

// none tells whether the target was undisturbed for a while before the moment.
func (d *disruptions) none(target string, at time.Time) bool {
	return d.noneBetween(target, at.Add(-settle), at)
}

// noneBetween tells whether the target was undisturbed from the first time to the second.
func (d *disruptions) noneBetween(target string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans {
		concerns := s.target == target || s.target == everyone
		if concerns && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}

// held returns for how long everyone was disturbed since the time.
func (d *disruptions) held(since time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var held time.Duration
	for _, s := range d.spans {
		if s.target == everyone && s.from.After(since) && !s.to.IsZero() {
			held += s.to.Sub(s.from)
		}
	}
	return held
}
