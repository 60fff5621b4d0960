package admission

import "time"

// The policy of the limit.
const (
	windowAnswers     = 16 // answers over which service time is judged
	slowFactor        = 2  // the service time holds up to this multiple of the best
	slowSlack         = 20 * time.Millisecond
	relaxShare        = 100 // the best time is relaxed by 1/100 in each window, so that it follows a changed load
	cutNumerator      = 3   // a cut leaves 3/4 of the limit
	cutDenominator    = 4
	growAnswers       = 4 // answers for one request more, until the first cut
	coldAfterFailures = 3 // failures in a row that are taken for an unexplained restart
)

// limiter finds how many requests the endpoint bears at once: it starts at the cold limit, is raised while the time
// until answers begin holds, and cut when it does not. It never passes the declared maximum.
type limiter struct {
	bounds   Bounds
	limit    int
	settled  bool // a cut has happened: a raise now takes as many answers as the limit
	answers  int  // whole answers since the last raise
	sinceCut int  // answers since the last cut
	failures int  // in a row
	slow     bool // the last window did not hold
	window   window
}

// window is the mean time until answers begin, over a number of answers.
type window struct {
	sum   time.Duration
	count int
	best  time.Duration // lowest mean seen, 0 when none
}

// add takes a time. Over says that the window is full; mean and best are then its mean and the lowest before it.
func (w *window) add(firstByte time.Duration) (mean, best time.Duration, over bool) {
	w.sum += firstByte
	w.count++
	if w.count < windowAnswers {
		return 0, 0, false
	}
	mean = w.sum / windowAnswers
	w.sum, w.count = 0, 0
	best = w.best
	if best == 0 {
		best = mean
	}
	w.best = min(mean, best+best/relaxShare)
	return mean, best, true
}

// setBounds keeps what the limit was raised to, within the new bounds.
func (l *limiter) setBounds(bounds Bounds) {
	if l.limit <= l.bounds.Cold {
		l.limit = bounds.Cold
	}
	l.limit = min(max(l.limit, bounds.Cold), bounds.Max)
	l.bounds = bounds
}

func (l *limiter) turnCold() {
	*l = limiter{bounds: l.bounds, limit: min(l.bounds.Cold, l.bounds.Max)}
}

func (l *limiter) observe(firstByte time.Duration) {
	l.failures = 0
	mean, best, over := l.window.add(firstByte)
	if !over {
		return
	}
	l.slow = mean > slowFactor*best+slowSlack
	if l.slow {
		l.cut()
	}
}

func (l *limiter) failed() {
	l.failures++
	if l.failures >= coldAfterFailures {
		l.turnCold()
		return
	}
	l.cutOnce()
}

// answered counts an answer. The limit is raised only by answers that were given while it was in use.
func (l *limiter) answered(whole bool, running int) {
	l.sinceCut++
	if !whole {
		l.cutOnce()
		return
	}
	if l.slow || l.failures > 0 || 2*running < l.limit {
		return
	}
	l.answers++
	needed := growAnswers
	if l.settled {
		needed = l.limit
	}
	if l.answers >= needed && l.limit < l.bounds.Max {
		l.limit++
		l.answers = 0
	}
}

// cutOnce cuts at most once for the requests that were under way together.
func (l *limiter) cutOnce() {
	if !l.settled || l.sinceCut >= l.limit {
		l.cut()
	}
}

func (l *limiter) cut() {
	l.limit = max(min(l.limit, l.bounds.Cold), l.limit*cutNumerator/cutDenominator)
	l.settled = true
	l.answers = 0
	l.sinceCut = 0
}
