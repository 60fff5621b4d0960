package admission

import (
	"slices"
	"time"
)

const (
	// minReturnSpread is the shortest span of time over which refused callers return. It is about the time in which an engine
	// with a dozen slots starts as many requests as wait for it.
	minReturnSpread = 200 * time.Millisecond
	// maxReturnShare is the largest share of the time left to a caller after which it is told to return, so that most of its
	// time remains for the request itself.
	maxReturnShare = 1.0 / 3
)

// ReturnAfter returns when a refused caller should return, from the forecasts of the endpoints that refused its request. Draws
// from 0 to 1 spread callers that were refused together evenly over as much time again as the forecast, or minReturnSpread if
// that is longer. The result is at most maxReturnShare of the time left to the caller, where 0 means that it is unknown.
// Without a forecast it returns false.
func ReturnAfter(forecasts []time.Duration, left time.Duration, draw float64) (time.Duration, bool) {
	if len(forecasts) == 0 {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(forecasts))
	median := sorted[len(sorted)/2] // the caller will be offered to other endpoints, whose forecasts are like these
	spread := max(median, minReturnSpread)
	if left > 0 {
		latest := time.Duration(maxReturnShare * float64(left))
		spread = min(spread, latest)
		median = min(median, latest-spread) // keeps callers apart also where the forecast is too late for them
	}
	return median + time.Duration(draw*float64(spread)), true
}
