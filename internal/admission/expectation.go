package admission

import "time"

// Expected is how long a request is expected to take at the endpoint, counted from its start.
type Expected struct {
	FirstEvent time.Duration // until the first event of the answer
	Run        time.Duration // until the end of the answer
}

// Bounds of the learned ratio between actual and expected run times. A wrong cost model beyond them has to be corrected in
// the configuration.
const (
	minRunRatio = 0.25
	maxRunRatio = 4
)

// runRatio is a moving average of the actual run time of requests relative to the expected one. The zero value is 1.
type runRatio struct{ excess float64 }

func (r *runRatio) value() float64 { return 1 + r.excess }

// record updates the ratio at the end of a request.
func (r *runRatio) record(actual, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(expected), minRunRatio), maxRunRatio)
	r.excess += (ratio - r.value()) / smoothingDivisor
}

// Expect returns how long a request would take if it started now. The sizes of its prompt and answer are in tokens.
func (r *PrefillTracker) Expect(promptTokens, answerTokens int) Expected {
	r.mu.Lock()
	defer r.mu.Unlock()
	decoding, pending := r.running-r.prefilling, r.pendingTokens+promptTokens
	return Expected{
		FirstEvent: r.costs.FirstEvent(decoding, pending),
		Run:        r.costs.Duration(decoding, pending, answerTokens),
	}
}
