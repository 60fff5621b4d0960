package retry

// Bounds of Retry-After, in seconds.
const (
	minAfterS = 1
	maxAfterS = 30
)

// spreadS is the window in seconds over which callers are spread when demand equals what can be borne.
const spreadS = 2

// After returns the seconds after which a refused caller may try again. Callers are spread by the seed over a window
// that grows with the ratio of demand to capacity, both in requests.
func After(demand, capacity int, seed uint64) int {
	window := spreadS
	if capacity > 0 {
		window = spreadS * demand / capacity
	}
	window = min(max(window, spreadS), maxAfterS)
	return minAfterS + int(seed%uint64(window))
}
