package quarantine

import "time"

// trialDelays are the times from a verdict at which one request with the part may pass, since no answer can clear a part that is
// quarantined. After the last of them, trials pass at its multiples. A crash under a trial counts as any other.
var trialDelays = []time.Duration{2 * time.Second, 30 * time.Second, 10 * time.Minute}

// trialDelay returns the time from the verdict to the trial after the given number of them.
func trialDelay(trials int) time.Duration {
	if last := len(trialDelays) - 1; trials > last {
		return trialDelays[last] * time.Duration(trials-last+1)
	}
	return trialDelays[trials]
}

// maxLateSends is the number of times that a whole request may be sent to engines after it has ended minCrashes of them. The sends
// before the verdict and the trials share it; after them the request is refused until the evidence expires.
const maxLateSends = 3

// inFlightTime is how long after a verdict requests may still crash engines that were under way. Later ones are trials.
const inFlightTime = 1500 * time.Millisecond

// verdict is a quarantined part.
type verdict struct {
	since    time.Duration // by the evidence, so that it is the same after a restart
	whole    bool          // the part stands for a whole request
	inFlight int           // sends of a whole request before the verdict to engines that ended after the first minCrashes
	crashed  int           // trials that have crashed an engine, here or elsewhere
	trials   int           // that have passed here
}

// newVerdict returns the verdict on a part with the evidence.
func newVerdict(e *evidence) *verdict {
	times := e.separate()
	v := &verdict{since: times[min(minCrashes, len(times))-1] + verdictDelay, whole: e.whole}
	v.update(e)
	return v
}

// update counts the trials that have crashed engines.
func (v *verdict) update(e *evidence) {
	if v.whole {
		v.updateSends(e)
		return
	}
	v.crashed = 0
	for _, at := range e.separate() {
		if v.isTrial(at) {
			v.crashed++
		}
	}
}

// updateSends counts the sends of a whole request to engines that ended after the first minCrashes of them. Evidence expires crash
// by crash, which does not allow further sends.
func (v *verdict) updateSends(e *evidence) {
	ends := e.orderedEndings()
	var inFlight, crashed int
	for _, end := range ends[min(minCrashes, len(ends)):] {
		if v.isTrial(end.at) {
			crashed += len(end.requests)
		} else {
			inFlight += len(end.requests)
		}
	}
	v.inFlight, v.crashed = max(v.inFlight, inFlight), max(v.crashed, crashed)
}

// isTrial reports whether a crash at the time was under a trial.
func (v *verdict) isTrial(at time.Duration) bool { return at > v.since+inFlightTime }

// mayTry reports whether a trial may pass now.
func (v *verdict) mayTry(now time.Duration) bool {
	trials := max(v.trials, v.crashed)
	if v.whole && v.inFlight+trials >= maxLateSends {
		return false
	}
	return now-v.since >= trialDelay(trials)
}
