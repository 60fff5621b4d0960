package soak

import (
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	// allProcesses is the target of disruptions that affect every process.
	allProcesses = "everyone"
	originTarget = "origin"
	// stallThreshold is the time between two checks above which the machine is taken to have stalled. Its processes may
	// then have had no processor time, as if they had been suspended.
	stallThreshold     = 150 * time.Millisecond
	stallCheckInterval = 10 * time.Millisecond
	// settleTime is how long a process must have been undisturbed before time bounds apply to it.
	settleTime = 3 * time.Second
)

// disruption is a period in which a target was disturbed. A zero end time means that it is still going on.
type disruption struct {
	target   string
	from, to time.Time
	planned  bool // a stop by SIGTERM
	// ofProcess tells disruptions of processes, engines and the origin from those of links and of the store. The latter concern
	// allProcesses.
	ofProcess bool
}

// disruptions records when each process was disturbed. It is safe for concurrent use.
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

// count returns the number of disruptions so far.
func (d *disruptions) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.list)
}

// watchForStalls records the periods in which this process's timer fired late as disruptions of all processes. The late
// timer shows that the machine stalled.
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
			d.add(&disruption{target: allProcesses, from: previous, to: now, ofProcess: true})
		}
		previous = now
	}
}

func (d *disruptions) add(period *disruption) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, period)
}

// begin records the start of a disruption of the target's links or, for allProcesses, of the store. The returned function records
// its end.
func (d *disruptions) begin(target string) (end func()) {
	return d.beginPeriod(&disruption{target: target, from: time.Now()})
}

// beginProcess is like begin for a disruption of a process.
func (d *disruptions) beginProcess(target string) (end func()) {
	return d.beginPeriod(&disruption{target: target, from: time.Now(), ofProcess: true})
}

// beginPlanned is like beginProcess for a planned stop of the target.
func (d *disruptions) beginPlanned(target string) (end func()) {
	return d.beginPeriod(&disruption{target: target, from: time.Now(), planned: true, ofProcess: true})
}

func (d *disruptions) beginPeriod(period *disruption) (end func()) {
	d.add(period)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		period.to = time.Now()
	}
}

// undisturbed reports whether the target was undisturbed for settleTime before the given time.
func (d *disruptions) undisturbed(target string, at time.Time) bool {
	return d.undisturbedBetween(target, at.Add(-settleTime), at)
}

// undisturbedBetween reports whether the target was undisturbed between the two times.
func (d *disruptions) undisturbedBetween(target string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, period := range d.list {
		if period.concerns(target) && period.overlaps(from, to) {
			return false
		}
	}
	return true
}

// unharmedBetween reports whether the targets were undisturbed between the two times, other than by planned stops.
func (d *disruptions) unharmedBetween(from, to time.Time, targets ...string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !slices.ContainsFunc(d.list, func(period *disruption) bool {
		return !period.planned && period.overlaps(from, to) && slices.ContainsFunc(targets, period.concerns)
	})
}

// undisrupted returns how long the store has been stable and no link disrupted at the given time, counted from the earlier time
// at most. Disruptions of processes do not shorten it.
func (d *disruptions) undisrupted(since, at time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, period := range d.list {
		if period.ofProcess || !period.from.Before(at) {
			continue
		}
		if period.to.IsZero() {
			return 0
		}
		end := period.to
		if period.target == allProcesses {
			end = end.Add(settleTime)
		}
		if end.After(since) {
			since = end
		}
	}
	return at.Sub(since)
}

func (p *disruption) concerns(target string) bool {
	return p.target == target || p.target == allProcesses
}

func (p *disruption) overlaps(from, to time.Time) bool {
	return p.from.Before(to) && (p.to.IsZero() || p.to.After(from))
}

// stalledSince returns how long all processes were disturbed in disruptions that began after the given time and have
// ended.
func (d *disruptions) stalledSince(since time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var stalled time.Duration
	for _, period := range d.list {
		if period.target == allProcesses && period.from.After(since) && !period.to.IsZero() {
			stalled += period.to.Sub(period.from)
		}
	}
	return stalled
}
