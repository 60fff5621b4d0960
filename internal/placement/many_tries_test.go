package placement

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

type sentRun struct {
	decider int
	at      time.Duration
}

// tries keeps, beside a play, when and by whom each run of an engine was sent.
type tries struct {
	*play
	sent map[*playedEngine][]sentRun
}

func newTries(noise bool) *tries {
	return &tries{newPlay(noise), make(map[*playedEngine][]sentRun)}
}

// recordTaken records the run that the engine has taken since, if there is one.
func (t *tries) recordTaken(e *playedEngine, decider int, at time.Duration) {
	if len(e.runs) > len(t.sent[e]) {
		t.sent[e] = append(t.sent[e], sentRun{decider, at})
	}
}

// knownFirstEvent returns the first event by the exact state of the engine at the age, and the decider's own requests since.
func (t *tries) knownFirstEvent(e *playedEngine, decider int, now, age time.Duration) time.Duration {
	known := &playedEngine{}
	for i := max(0, len(e.runs)-4*engineSlots); i < len(t.sent[e]); i++ {
		if sent := t.sent[e][i]; sent.at <= now-age || sent.decider == decider {
			_, slot := known.plan(now)
			known.freeAt[slot] = e.runs[i].end
			known.readFree = max(known.readFree, e.runs[i].read)
		}
	}
	if e.slowdown(now-age) > 1 {
		known.noise = []time.Duration{0, math.MaxInt64}
	}
	return known.firstEvent(now)
}

func (t *tries) leastOf(candidates []*playedEngine, age time.Duration) chooser {
	var last *playedEngine
	var lastDecider int
	var lastAt time.Duration
	return func(decider int, now time.Duration, tried map[catalog.EndpointID]bool) *playedEngine {
		if last != nil {
			t.recordTaken(last, lastDecider, lastAt)
		}
		var best *playedEngine
		least := time.Duration(math.MaxInt64)
		start := t.random.IntN(len(candidates))
		for i := range candidates {
			e := candidates[(start+i)%len(candidates)]
			if first := t.knownFirstEvent(e, decider, now, age); !tried[e.ID] && first < least {
				best, least = e, first
			}
		}
		last, lastDecider, lastAt = best, decider, now
		return best
	}
}

func (t *tries) fresh(tried map[catalog.EndpointID]bool) *playedEngine {
	e := t.atRandom(0, 0, tried)
	tried[e.ID] = true
	return e
}

// bounded asks engines at once for their forecasts, then offers the request to random engines with the bounds, then to those
// that named the earliest first events.
func (t *tries) bounded(now time.Duration, ask int, bounds []time.Duration) (took time.Duration, offers int, ok bool) {
	type refusal struct {
		engine *playedEngine
		by     time.Duration
	}
	var refusals []refusal
	arrived, tried := now, make(map[catalog.EndpointID]bool)
	for range ask {
		e := t.fresh(tried)
		refusals = append(refusals, refusal{e, now + e.firstEvent(now)})
		offers++
	}
	if ask > 0 {
		now += refusalDelay
	}
	for _, bound := range bounds {
		e := t.fresh(tried)
		offers++
		if took := e.firstEvent(now); took <= bound {
			e.take(now)
			return now - arrived + took, offers, true
		}
		refusals = append(refusals, refusal{e, now + e.firstEvent(now)})
		now += refusalDelay
	}
	slices.SortFunc(refusals, func(a, b refusal) int { return int(a.by - b.by) })
	for _, r := range refusals[:min(2, len(refusals))] {
		offers++
		if took := now - arrived + r.engine.firstEvent(now); took <= objective {
			r.engine.take(now)
			return took, offers, true
		}
		now += refusalDelay
	}
	return 0, offers, false
}

func (t *tries) runBounded(load float64, ask int, bounds ...time.Duration) (p95 time.Duration, offersEach float64) {
	var times []time.Duration
	offers, total := 0, 0
	runTime := promptTokens/playedCosts.PrefillTokensPerSecond + answerTokens*playedCosts.BaseTokenTime.Seconds()
	perSecond := load * engineCount * engineSlots / runTime
	for now := time.Duration(0); now < playTime; now += time.Duration(t.random.ExpFloat64() / perSecond * float64(time.Second)) {
		took, n, ok := t.bounded(now, ask, bounds)
		if ok {
			times = append(times, took)
		}
		offers += n
		total++
	}
	slices.Sort(times)
	return times[len(times)*95/100], float64(offers) / float64(total)
}

func TestTries(t *testing.T) {
	const ms = time.Millisecond
	for _, noise := range []bool{false, true} {
		for _, load := range []float64{0.6, 0.9} {
			all := newPlay(noise)
			t.Logf("noise %v, load %.1f: want at most %v", noise, load, time.Duration(1.2*float64(all.p95(load, all.byFullKnowledge))).Round(ms))
			for _, age := range []time.Duration{200 * ms, 50 * ms, 11 * ms, 5 * ms, ms, 0} {
				p := newTries(noise)
				t.Logf("  exact states of all engines, %v old: %v", age, p.p95(load, p.leastOf(p.engines, age)).Round(ms))
			}
			for _, ask := range []int{2, 4, 6, 8, 12} {
				p95, offers := newTries(noise).runBounded(load, ask)
				t.Logf("  %d asked at once: %v, %.2f messages a request", ask, p95.Round(ms), offers)
			}
			for _, bound := range []time.Duration{120 * ms, 130 * ms, 150 * ms} {
				for _, count := range []int{2, 3, 4, 6} {
					p95, offers := newTries(noise).runBounded(load, 0, slices.Repeat([]time.Duration{bound}, count)...)
					t.Logf("  %d offers with a bound of %v, then the earliest that refused: %v, %.2f messages a request", count, bound, p95.Round(ms), offers)
				}
			}
		}
	}
}
