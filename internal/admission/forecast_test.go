package admission

import (
	"testing"
	"time"
)

func TestForecastsAreCorrectedByLateFirstEvents(t *testing.T) {
	const now = time.Minute
	var errors ForecastErrors
	if got := errors.Worst(time.Second, now); got != time.Second {
		t.Errorf("without errors, a first event is expected after %v instead of 1s", got)
	}
	errors.Begin(time.Second, now).End(now + time.Second + minForecastError/2)
	if got := errors.Worst(time.Second, now+2*time.Second); got != time.Second {
		t.Errorf("after an event that was in time, one is expected after %v instead of 1s", got)
	}
	waiting := errors.Begin(time.Second, now)
	if got := errors.Worst(400*time.Millisecond, now+2*time.Second); got != 1400*time.Millisecond {
		t.Errorf("while a request waits 1 s longer than forecast, an event is expected after %v instead of 1.4s", got)
	}
	waiting.End(now + 3*time.Second)
	waiting.End(now + 9*time.Second)
	if got := errors.Worst(2*time.Second, now+4*time.Second); got != 6*time.Second {
		t.Errorf("after an event that took three times its forecast, one is expected after %v instead of 6s", got)
	}
	if got := errors.Worst(2*time.Second, now+3*time.Second+forecastMemory+1); got != 2*time.Second {
		t.Errorf("long after the late event, one is expected after %v instead of 2s", got)
	}
}

func TestErrorOfAShortForecastIsNotMultipliedWithoutBound(t *testing.T) {
	var errors ForecastErrors
	errors.Begin(time.Millisecond, 0).End(minForecastError + time.Millisecond)
	if got := errors.Worst(time.Second, time.Second); got != time.Second+minForecastError {
		t.Errorf("an event is expected after %v, want the delay of the other one added", got)
	}
}
