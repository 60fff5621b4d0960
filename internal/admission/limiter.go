package admission

import "time"

// The policy of the limit.
const (
	windowSamples             = 16 // answers over which service time is judged
	slowdownFactor            = 2  // the service time holds up to this multiple of the best
	slowdownTolerance         = 20 * time.Millisecond
	bestMeanDecayDivisor      = 100 // the best time is relaxed by 1/100 in each window, so that it follows a changed load
	decreaseNumerator         = 3   // a cut leaves 3/4 of the limit
	decreaseDenominator       = 4
	initialAnswersPerIncrease = 4 // answers for one request more, until the first cut
	failuresUntilCold         = 3 // failures in a row that are taken for an unexplained restart
)

// limiter finds how many requests the endpoint bears at once: it starts at the cold limit, is raised while the time
// until answers begin holds, and cut when it does not. It never passes the declared maximum.
type limiter struct {
	bounds               Bounds
	limit                int
	hasDecreased         bool // a cut has happened: a raise now takes as many answers as the limit
	answersSinceIncrease int  // whole answers since the last raise
	answersSinceDecrease int  // answers since the last cut
	consecutiveFailures  int  // in a row
	lastWindowSlow       bool // the last window did not hold
	window               latencyWindow
}

// latencyWindow is the mean time until answers begin, over a number of answers.
type latencyWindow struct {
	sum      time.Duration
	count    int
	bestMean time.Duration // lowest mean seen, 0 when none
}

// add takes a time. Over says that the window is full; mean and best are then its mean and the lowest before it.
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

// setBounds keeps what the limit was raised to, within the new bounds.
func (l *limiter) setBounds(bounds Bounds) {
	if l.limit <= l.bounds.Cold {
		l.limit = bounds.Cold
	}
	l.limit = min(max(l.limit, bounds.Cold), bounds.Max)
	l.bounds = bounds
}

func (l *limiter) resetToCold() {
	*l = limiter{bounds: l.bounds, limit: min(l.bounds.Cold, l.bounds.Max)}
}

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

func (l *limiter) recordFailure() {
	l.consecutiveFailures++
	if l.consecutiveFailures >= failuresUntilCold {
		l.resetToCold()
		return
	}
	l.decreaseOncePerRound()
}

// recordAnswer counts an answer. The limit is raised only by answers that were given while it was in use.
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

// decreaseOncePerRound cuts at most once for the requests that were under way together.
func (l *limiter) decreaseOncePerRound() {
	if !l.hasDecreased || l.answersSinceDecrease >= l.limit {
		l.decrease()
	}
}

func (l *limiter) decrease() {
	l.limit = max(min(l.limit, l.bounds.Cold), l.limit*decreaseNumerator/decreaseDenominator)
	l.hasDecreased = true
	l.answersSinceIncrease = 0
	l.answersSinceDecrease = 0
}
