package admission

import "time"

// meanWeight is the weight of an ended request in the mean, as 1/meanWeight.
const meanWeight = 8

// serviceTime estimates the mean time that a request runs by Little's law: the time that all requests ran between two
// ends, taken over many ends.
type serviceTime struct {
	busy     time.Duration // request time since the last end
	at       time.Duration // up to which busy is counted
	estimate time.Duration
}

// advance counts the requests that ran until now.
func (s *serviceTime) advance(now time.Duration, running int) {
	s.busy += max(0, now-s.at) * time.Duration(running)
	s.at = max(s.at, now)
}

// ended takes the end of a request.
func (s *serviceTime) ended() {
	if s.estimate == 0 {
		s.estimate = s.busy
	}
	s.estimate += (s.busy - s.estimate) / meanWeight
	s.busy = 0
}

func (s *serviceTime) mean() time.Duration { return s.estimate }
