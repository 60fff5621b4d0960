package admission

import "time"

// smoothingDivisor sets the weight of each ended request in the moving average to 1/smoothingDivisor.
const smoothingDivisor = 8

// serviceTime estimates the mean run time of requests by Little's law. Between two consecutive ends, the run times of
// all requests add up to the mean run time, on average over many ends.
type serviceTime struct {
	busyTime     time.Duration // sum of the run times of all requests since the last end
	countedUntil time.Duration // time up to which busyTime is counted
	estimate     time.Duration
}

// advance adds the run time of the running requests up to now.
func (s *serviceTime) advance(now time.Duration, running int) {
	s.busyTime += max(0, now-s.countedUntil) * time.Duration(running)
	s.countedUntil = max(s.countedUntil, now)
}

// recordEnd updates the estimate at the end of a request.
func (s *serviceTime) recordEnd() {
	if s.estimate == 0 {
		s.estimate = s.busyTime
	}
	s.estimate += (s.busyTime - s.estimate) / smoothingDivisor
	s.busyTime = 0
}

func (s *serviceTime) mean() time.Duration { return s.estimate }
