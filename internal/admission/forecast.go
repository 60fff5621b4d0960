package admission

import (
	"sync"
	"time"
)

const (
	// forecastMemory is how long a late first event tells of the engine's speed. A queue of prompts that has built up is read within it.
	forecastMemory = 5 * time.Second
	// minForecastError is the error of a forecast that is worth counting. Forecasts are given in whole passes of the engine.
	minForecastError = 100 * time.Millisecond
	// minForecast is the forecast below which errors are not taken as a share of it.
	minForecast = 200 * time.Millisecond
)

// ForecastErrors compares forecasts of first events with what the engine did. An engine can be slower than it states: its machine is
// busy, or it still works on requests that this process does not know of. Requests that wait longer than their forecast count as soon as
// they do. The zero value knows of no errors. It is safe for concurrent use.
type ForecastErrors struct {
	mu   sync.Mutex
	open map[*Forecast]struct{}
	late []lateEvent // of the last forecastMemory, in order of time
}

// lateEvent is a first event that came later than its forecast.
type lateEvent struct {
	at time.Duration
	forecastError
}

// forecastError is by how much first events are late: both by a time and as a multiple of their forecasts.
type forecastError struct {
	delay  time.Duration
	factor float64
}

// Forecast is the forecast of a request's first event.
type Forecast struct {
	errors *ForecastErrors
	sentAt time.Duration
	after  time.Duration
}

// Begin records that a request was sent at the time now and that its first event is expected after the duration.
func (e *ForecastErrors) Begin(after, now time.Duration) *Forecast {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open == nil {
		e.open = make(map[*Forecast]struct{})
	}
	f := &Forecast{errors: e, sentAt: now, after: after}
	e.open[f] = struct{}{}
	return f
}

// End records that the first event has come, or that the request ended without one. Only the first call has an effect.
func (f *Forecast) End(now time.Duration) {
	e := f.errors
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, open := e.open[f]; !open {
		return
	}
	delete(e.open, f)
	if err, late := f.errorAt(now); late {
		e.late = append(e.late, lateEvent{at: now, forecastError: err})
	}
}

// errorAt returns the error of the forecast if the first event comes at the time now; false if it is not late by minForecastError.
func (f *Forecast) errorAt(now time.Duration) (forecastError, bool) {
	passed := now - f.sentAt
	delay := passed - f.after
	return forecastError{delay: delay, factor: float64(passed) / float64(max(f.after, minForecast))}, delay >= minForecastError
}

// Worst returns the longest time after which a first event has to be expected that is forecast after the duration: the forecast with
// the largest error of the requests that wait now and of those of the last forecastMemory.
func (e *ForecastErrors) Worst(after, now time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.late) > 0 && now-e.late[0].at > forecastMemory {
		e.late = e.late[1:]
	}
	worst := after
	for _, event := range e.late {
		worst = max(worst, event.apply(after))
	}
	for f := range e.open {
		if err, late := f.errorAt(now); late {
			worst = max(worst, err.apply(after))
		}
	}
	return worst
}

// apply returns a forecast with the error added.
func (e forecastError) apply(after time.Duration) time.Duration {
	return max(after+e.delay, time.Duration(float64(after)*e.factor))
}
