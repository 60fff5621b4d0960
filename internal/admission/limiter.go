package admission

import "time"

// The policy of the limiter.
const (
	windowSamples             = 16                    // first-byte times per window
	slowdownFactor            = 2                     // a window is slow if its mean exceeds this multiple of the best mean
	slowdownTolerance         = 20 * time.Millisecond // added to that bound
	bestMeanDecayDivisor      = 100                   // the best mean grows by up to 1/100 per window, to adapt to a changed workload
	decreaseNumerator         = 3                     // a decrease leaves 3/4 of the limit
	decreaseDenominator       = 4
	initialAnswersPerIncrease = 4 // answers per increase by 1, before the first decrease
	failuresUntilCold         = 3 // consecutive failures that count as a restart of the back end
)

// limiter is an adaptive concurrency limit. It starts at the cold limit, grows while first-byte times remain stable,
// and decreases when they rise or requests fail. It never exceeds the configured maximum.
type limiter struct {
	bounds               Bounds
	limit                int
	hasDecreased         bool // after the first decrease, an increase takes as many answers as the limit
	answersSinceIncrease int  // complete answers since the last increase
	answersSinceDecrease int  // answers since the last decrease
	consecutiveFailures  int
	lastWindowSlow       bool // the mean of the last window was too high
	window               latencyWindow
}

// latencyWindow computes the mean first-byte time of each windowSamples answers.
type latencyWindow struct {
	sum      time.Duration
	count    int
	bestMean time.Duration // lowest mean of a window, slowly raised; 0 before the first window
}

// add records a first-byte time. If this completes a window, it returns the mean of the window, the best mean before
// it (or the same mean in the first window), and true.
func (w *latencyWindow) add(firstByte time.Duration) (mean, previousBest time.Duration, full bool) {
	w.sum += firstByte
	w.count++
	if w.count < windowSamples {
		return 0, 0, false
	}
	mean = w.sum / windowSamples
	w.sum, w.count = 0, 0
	previousBest = w.bestMean
	if previousBest == 0 {
		previousBest = mean
	}
	w.bestMean = min(mean, previousBest+previousBest/bestMeanDecayDivisor)
	return mean, previousBest, true
}

// setBounds changes the bounds and moves the current limit into them. A limit that is still cold takes the new cold
// limit.
func (l *limiter) setBounds(bounds Bounds) {
	if l.limit <= l.bounds.Cold {
		l.limit = bounds.Cold
	}
	l.limit = min(max(l.limit, bounds.Cold), bounds.Max)
	l.bounds = bounds
}

// resetToCold discards all measurements and starts again at the cold limit.
func (l *limiter) resetToCold() {
	*l = limiter{bounds: l.bounds, limit: min(l.bounds.Cold, l.bounds.Max)}
}

// recordFirstByte records the first-byte time of an answer, and decreases the limit after a slow window.
func (l *limiter) recordFirstByte(firstByte time.Duration) {
	l.consecutiveFailures = 0
	mean, bestMean, full := l.window.add(firstByte)
	if !full {
		return
	}
	l.lastWindowSlow = mean > slowdownFactor*bestMean+slowdownTolerance
	if l.lastWindowSlow {
		l.decrease()
	}
}

// recordFailure records a request that the back end failed. After failuresUntilCold consecutive failures it resets
// the limit to the cold limit.
func (l *limiter) recordFailure() {
	l.consecutiveFailures++
	if l.consecutiveFailures >= failuresUntilCold {
		l.resetToCold()
		return
	}
	l.decreaseOncePerRound()
}

// recordAnswer records the end of an answer while running requests were in flight. Only complete answers given while
// at least half of the limit was in use count towards an increase.
func (l *limiter) recordAnswer(complete bool, running int) {
	l.answersSinceDecrease++
	if !complete {
		l.decreaseOncePerRound()
		return
	}
	if l.lastWindowSlow || l.consecutiveFailures > 0 || 2*running < l.limit {
		return
	}
	l.answersSinceIncrease++
	answersPerIncrease := initialAnswersPerIncrease
	if l.hasDecreased {
		answersPerIncrease = l.limit
	}
	if l.answersSinceIncrease >= answersPerIncrease && l.limit < l.bounds.Max {
		l.limit++
		l.answersSinceIncrease = 0
	}
}

// decreaseOncePerRound decreases the limit at most once for a set of concurrent requests: after a decrease, it waits
// for as many answers as the limit.
func (l *limiter) decreaseOncePerRound() {
	if !l.hasDecreased || l.answersSinceDecrease >= l.limit {
		l.decrease()
	}
}

// decrease multiplies the limit by 3/4, but does not go below the cold limit.
func (l *limiter) decrease() {
	l.limit = max(min(l.limit, l.bounds.Cold), l.limit*decreaseNumerator/decreaseDenominator)
	l.hasDecreased = true
	l.answersSinceIncrease = 0
	l.answersSinceDecrease = 0
}
