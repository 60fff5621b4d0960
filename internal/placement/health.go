package placement

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

const (
	// firstAvoidance follows one failure: about the time in which a crashed endpoint's entry changes.
	firstAvoidance = time.Second
	// longestAvoidance is bounded so that an endpoint that is sound again is found by a live request.
	longestAvoidance = 8 * time.Second
	forgetAfter      = time.Minute // without a failure; bounds the memory for endpoints that are gone
)

// health remembers which endpoints failed lately. Each failure in a row doubles the time for which one is avoided.
type health struct {
	mu    sync.Mutex
	known map[catalog.EndpointID]*record
}

type record struct {
	inRow int
	until time.Duration
}

func newHealth() *health { return &health{known: make(map[catalog.EndpointID]*record)} }

func (h *health) succeeded(id catalog.EndpointID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.known[id] != nil
	delete(h.known, id)
	return known
}

func (h *health) failed(id catalog.EndpointID, now time.Duration) (until time.Duration, changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(now)
	r := h.known[id]
	if r == nil {
		r = &record{}
		h.known[id] = r
	}
	if now < r.until {
		return r.until, false // one of several requests that were under way together
	}
	r.until = now + min(longestAvoidance, firstAvoidance<<min(r.inRow, 8))
	r.inRow++
	return r.until, true
}

func (h *health) forget(now time.Duration) {
	for id, r := range h.known {
		if now > r.until+forgetAfter {
			delete(h.known, id)
		}
	}
}

func (h *health) failing(id catalog.EndpointID, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.known[id]
	return r != nil && now < r.until
}
