package retry

// Bounds of Retry-After, in seconds.
const (
	minRetryAfterSeconds = 1
	maxRetryAfterSeconds = 30
)

// baseSpreadSeconds is the window in seconds over which callers are spread when demand equals what can be borne.
const baseSpreadSeconds = 2

// After returns the seconds after which a refused caller may try again. Callers are spread by the seed over a window
// that grows with the ratio of demand to capacity, both in requests.
func After(demand, capacity int, seed uint64) int {
	window := baseSpreadSeconds
	if capacity > 0 {
		window = baseSpreadSeconds * demand / capacity
	}
	window = min(max(window, baseSpreadSeconds), maxRetryAfterSeconds)
	return minRetryAfterSeconds + int(seed%uint64(window))
}
