package admission

import (
	"testing"
	"time"
)

const held = 50 * time.Millisecond

// answer lets n answers end, each of which began after firstByte, while the limit is in use.
func answer(l *limiter, n int, firstByte time.Duration) {
	for range n {
		l.observe(firstByte)
		l.answered(true, l.limit)
	}
}

func newLimiter() *limiter {
	l := &limiter{}
	l.setBounds(Bounds{Cold: 4, Max: 40})
	return l
}

func TestLimitRisesFromColdToMaxWhileServiceTimeHolds(t *testing.T) {
	l := newLimiter()
	if l.limit != 4 {
		t.Fatalf("the limit starts at %d", l.limit)
	}
	answer(l, growAnswers*(40-4), held)
	if l.limit != 40 {
		t.Errorf("the limit is %d", l.limit)
	}
	answer(l, 100, held)
	if l.limit != 40 {
		t.Errorf("the limit passed the maximum: %d", l.limit)
	}
}

func TestLimitIsCutWhenServiceTimeDoesNotHold(t *testing.T) {
	l := newLimiter()
	answer(l, 200, held)
	answer(l, windowAnswers, 10*held)
	if l.limit >= 40 {
		t.Errorf("the limit is still %d", l.limit)
	}
	answer(l, 50*windowAnswers, 10*held)
	if l.limit != 4 {
		t.Errorf("the limit did not come down to the cold one: %d", l.limit)
	}
}

func TestLimitRisesSlowlyAfterACut(t *testing.T) {
	l := newLimiter()
	answer(l, 200, held)
	answer(l, windowAnswers, 10*held)
	after := l.limit
	answer(l, windowAnswers, held)
	answer(l, after-1, held)
	if l.limit > after+1 {
		t.Errorf("rose from %d to %d within one round", after, l.limit)
	}
}

func TestLimitStaysWhileItIsNotInUse(t *testing.T) {
	l := newLimiter()
	for range 100 {
		l.observe(held)
		l.answered(true, 1)
	}
	if l.limit != 4 {
		t.Errorf("the limit rose to %d with one request at a time", l.limit)
	}
}

func TestFailuresInARowTurnCold(t *testing.T) {
	l := newLimiter()
	answer(l, 200, held)
	l.failed()
	if l.limit != 30 {
		t.Errorf("after one failure the limit is %d", l.limit)
	}
	l.failed()
	l.failed()
	if l.limit != 4 {
		t.Errorf("after three failures the limit is %d", l.limit)
	}
}

func TestNewBoundsKeepWhatWasRaised(t *testing.T) {
	l := newLimiter()
	answer(l, growAnswers*16, held)
	for _, step := range []struct{ cold, max, want int }{{8, 40, 20}, {8, 12, 12}, {8, 40, 12}, {16, 40, 16}, {10, 40, 10}} {
		l.setBounds(Bounds{Cold: step.cold, Max: step.max})
		if l.limit != step.want {
			t.Errorf("cold %d and max %d: the limit is %d, not %d", step.cold, step.max, l.limit, step.want)
		}
	}
}
