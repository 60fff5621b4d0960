package admission

import "time"

// smoothingDivisor is the weight of an ended request in the mean, as 1/smoothingDivisor.
const smoothingDivisor = 8

// serviceTime estimates the mean time that a request runs by Little's law: the time that all requests ran between two
// ends, taken over many ends.
type serviceTime struct {
	busyTime     time.Duration // request time since the last end
	countedUntil time.Duration // up to which busy is counted
	estimate     time.Duration
}

// advance counts the requests that ran until now.
func (s *serviceTime) advance(now time.Duration, running int) {
	s.busyTime += max(0, now-s.countedUntil) * time.Duration(running)
	s.countedUntil = max(s.countedUntil, now)
}

// recordEnd takes the end of a request.
func (s *serviceTime) recordEnd() {
	if s.estimate == 0 {
		s.estimate = s.busyTime
	}
	s.estimate += (s.busyTime - s.estimate) / smoothingDivisor
	s.busyTime = 0
}

func (s *serviceTime) mean() time.Duration { return s.estimate }
