package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	statedRate     = 2.0 // requests per second that a back end states; far fewer than it gets otherwise
	statedRateTime = 10 * time.Second
	rateWindow     = 4 * time.Second // from the platform's documentation, as is the most that it may hold
	maxInWindow    = int(1.5*4*statedRate) + 5
)

// rateLog records when a back end stated a rate and which requests arrived. It is safe for concurrent use.
type rateLog struct {
	mu       sync.Mutex
	periods  []ratePeriod
	arrivals []platformtest.Run // the rejected ones, too
}

type ratePeriod struct{ from, to time.Time }

// add records a request that arrives at a back end.
func (l *rateLog) add(run platformtest.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, run)
}

// snapshot returns what was recorded so far. Back ends may still get requests.
func (l *rateLog) snapshot() (periods []ratePeriod, arrivals []platformtest.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.periods), slices.Clone(l.arrivals)
}

// stateRate makes one of the back ends state a request rate for statedRateTime.
func (s *system) stateRate(backends []*backend, pick int, _ time.Duration) {
	b := backends[pick%len(backends)]
	if !b.rateMu.TryLock() {
		return
	}
	defer b.rateMu.Unlock()
	from := time.Now()
	b.SetRate(statedRate)
	time.Sleep(statedRateTime)
	b.SetRate(0)
	b.rates.mu.Lock()
	defer b.rates.mu.Unlock()
	b.rates.periods = append(b.rates.periods, ratePeriod{from, time.Now()})
}

// checkRates checks that back ends got no more requests than the rates that they stated allow, from settleTime after the first
// statement on. Processes that were disturbed are excused.
func (s *system) checkRates(requests map[string]*request) {
	for _, b := range s.allBackends {
		periods, arrivals := b.rates.snapshot()
		for _, period := range periods {
			s.checkRate(b, period, arrivals, requests)
		}
	}
}

func (s *system) checkRate(b *backend, period ratePeriod, arrivals []platformtest.Run, requests map[string]*request) {
	for i, first := range arrivals {
		from, end := first.StartedAt, first.StartedAt.Add(rateWindow)
		if from.Before(period.from.Add(settleTime)) || end.After(period.to) {
			continue
		}
		count := 0
		for _, run := range arrivals[i:] {
			sender := s.senderOf(b, requests[run.ID])
			if run.StartedAt.Before(end) && sender != nil && s.disruptions.undisturbedBetween(sender.name, from.Add(-settleTime), end) {
				count++
			}
		}
		if count > maxInWindow {
			s.t.Errorf("stated rates: %s got %d requests in %v at %v a second, allowed %d", b.ID, count, rateWindow, statedRate, maxInWindow)
			return
		}
	}
}

// senderOf returns the process that sends a request to the back end: an engine's sidecar, or the request's gateway. It returns nil
// for an unknown request.
func (s *system) senderOf(b *backend, r *request) *node {
	for i, engine := range s.engines {
		if engine == b {
			return s.sidecars[i]
		}
	}
	if r == nil {
		return nil
	}
	return s.gateways[r.gateway]
}
