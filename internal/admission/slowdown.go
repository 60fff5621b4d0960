package admission

import (
	"math"
	"time"
)

const (
	// slowdownAverageHalfLife is the age at which a report counts half in the average. It spans many of an engine's changes of
	// speed, of which there are several in a second, and few of its requests.
	slowdownAverageHalfLife = 2 * time.Second
	// slowdownStateHalfLife is the age at which half of a report's difference from the average is believed to remain. It is
	// about the time that an engine which changes several times in a second stays in a state.
	slowdownStateHalfLife = 100 * time.Millisecond
	// slowdownLifetime is the age of the last report after which the engine is taken to work at its published costs again.
	slowdownLifetime = 5 * time.Second
	// usualSlowdown is that of an engine which works at its published costs.
	usualSlowdown = 1.0
	// maxSlowdown bounds the reports. An engine that works ten times slower than published serves hardly any request on time,
	// and a higher figure would only delay the time from which it is used again.
	maxSlowdown = 10.0
)

// Slowdown estimates how long an engine's work takes relative to its published costs, from reports that age. The zero value
// knows no report. It has no clock and is not safe for concurrent use.
type Slowdown struct {
	reported   bool
	last       float64
	reportedAt time.Duration
	average    float64 // of the reports, each weighted by the time since the one before it and by its age
}

// Record records a report that was received at the time now. A report that is not a positive number is ignored, and others are
// bounded: an engine cannot be faster than published by its own word.
func (s *Slowdown) Record(factor float64, now time.Duration) {
	if !(factor > 0) {
		return
	}
	factor = min(max(factor, usualSlowdown), maxSlowdown)
	if !s.reported || now-s.reportedAt > slowdownLifetime {
		*s = Slowdown{reported: true, last: factor, reportedAt: now, average: factor}
		return
	}
	keep := halvings(now-s.reportedAt, slowdownAverageHalfLife)
	s.average = s.average*keep + factor*(1-keep)
	s.last, s.reportedAt = factor, now
}

// Estimate returns the slowdown to expect at the time now: the last report shortly after it, the average of the reports later,
// and that of the published costs once the last report has expired.
func (s *Slowdown) Estimate(now time.Duration) float64 {
	age := now - s.reportedAt
	if !s.reported || age > slowdownLifetime {
		return usualSlowdown
	}
	return s.average + (s.last-s.average)*halvings(age, slowdownStateHalfLife)
}

// halvings returns what is left of 1 after the age.
func halvings(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
