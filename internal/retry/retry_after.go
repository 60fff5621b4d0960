package retry

// The bounds of the delay in Retry-After.
const (
	minRetryAfterSeconds = 1
	maxRetryAfterSeconds = 30
)

// baseSpreadSeconds is the window over which callers are spread when demand does not exceed capacity.
const baseSpreadSeconds = 2

// RetryAfterSeconds returns the Retry-After delay of a refused request, in seconds. The seed spreads callers over a window
// that grows with the ratio of demand to capacity, both in requests. The window is at most maxRetryAfterSeconds wide.
func RetryAfterSeconds(demand, capacity int, seed uint64) int {
	window := baseSpreadSeconds
	if capacity > 0 {
		window = baseSpreadSeconds * demand / capacity
	}
	window = min(max(window, baseSpreadSeconds), maxRetryAfterSeconds)
	return minRetryAfterSeconds + int(seed%uint64(window))
}
