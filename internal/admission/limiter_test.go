package admission

import (
	"testing"
	"time"
)

const normalFirstByte = 50 * time.Millisecond

// recordAnswers records n answers with the first-byte time, while the limit is fully used.
func recordAnswers(l *limiter, n int, firstByte time.Duration) {
	for range n {
		l.recordFirstByte(firstByte)
		l.recordAnswer(true, l.limit)
	}
}

func newLimiter() *limiter {
	l := &limiter{}
	l.setBounds(Bounds{Cold: 4, Max: 40})
	return l
}

func TestLimitRisesFromColdToMaxWhileFirstByteTimeIsStable(t *testing.T) {
	l := newLimiter()
	if l.limit != 4 {
		t.Fatalf("the limit starts at %d, want 4", l.limit)
	}
	recordAnswers(l, initialAnswersPerIncrease*(40-4), normalFirstByte)
	if l.limit != 40 {
		t.Errorf("the limit is %d, want 40", l.limit)
	}
	recordAnswers(l, 100, normalFirstByte)
	if l.limit != 40 {
		t.Errorf("the limit exceeds the maximum: %d", l.limit)
	}
}

func TestLimitDecreasesWhenFirstByteTimeRises(t *testing.T) {
	l := newLimiter()
	recordAnswers(l, 200, normalFirstByte)
	recordAnswers(l, windowSamples, 10*normalFirstByte)
	if l.limit >= 40 {
		t.Errorf("the limit is still %d after a slow window", l.limit)
	}
	recordAnswers(l, 50*windowSamples, 10*normalFirstByte)
	if l.limit != 4 {
		t.Errorf("the limit is %d, want the cold limit of 4", l.limit)
	}
}

func TestLimitRisesSlowlyAfterADecrease(t *testing.T) {
	l := newLimiter()
	recordAnswers(l, 200, normalFirstByte)
	recordAnswers(l, windowSamples, 10*normalFirstByte)
	decreased := l.limit
	recordAnswers(l, windowSamples, normalFirstByte)
	recordAnswers(l, decreased-1, normalFirstByte)
	if l.limit > decreased+1 {
		t.Errorf("the limit rose from %d to %d within one round", decreased, l.limit)
	}
}

func TestLimitStaysWhileItIsNotReached(t *testing.T) {
	l := newLimiter()
	for range 100 {
		l.recordFirstByte(normalFirstByte)
		l.recordAnswer(true, 1)
	}
	if l.limit != 4 {
		t.Errorf("the limit rose to %d with one request at a time, want 4", l.limit)
	}
}

func TestConsecutiveFailuresResetToCold(t *testing.T) {
	l := newLimiter()
	recordAnswers(l, 200, normalFirstByte)
	l.recordFailure()
	if l.limit != 30 {
		t.Errorf("the limit is %d after one failure, want 30", l.limit)
	}
	l.recordFailure()
	l.recordFailure()
	if l.limit != 4 {
		t.Errorf("the limit is %d after three failures, want 4", l.limit)
	}
}

func TestNewBoundsKeepTheRaisedLimit(t *testing.T) {
	l := newLimiter()
	recordAnswers(l, initialAnswersPerIncrease*16, normalFirstByte)
	for _, step := range []struct{ cold, max, want int }{{8, 40, 20}, {8, 12, 12}, {8, 40, 12}, {16, 40, 16}, {10, 40, 10}} {
		l.setBounds(Bounds{Cold: step.cold, Max: step.max})
		if l.limit != step.want {
			t.Errorf("cold %d and max %d: the limit is %d, want %d", step.cold, step.max, l.limit, step.want)
		}
	}
}
