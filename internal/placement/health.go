package placement

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

const (
	// initialAvoidance follows one failure: about the time in which a crashed endpoint's entry changes.
	initialAvoidance = time.Second
	// maxAvoidance is bounded so that an endpoint that is sound again is found by a live request.
	maxAvoidance    = 8 * time.Second
	recordRetention = time.Minute // without a failure; bounds the memory for endpoints that are gone
)

// health remembers which endpoints failed lately. Each failure in a row doubles the time for which one is avoided.
type health struct {
	mu      sync.Mutex
	records map[catalog.EndpointID]*failureRecord
}

type failureRecord struct {
	consecutiveFailures int
	avoidedUntil        time.Duration
}

func newHealth() *health { return &health{records: make(map[catalog.EndpointID]*failureRecord)} }

func (h *health) recordSuccess(id catalog.EndpointID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	hadFailed := h.records[id] != nil
	delete(h.records, id)
	return hadFailed
}

func (h *health) recordFailure(id catalog.EndpointID, now time.Duration) (until time.Duration, changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeExpired(now)
	r := h.records[id]
	if r == nil {
		r = &failureRecord{}
		h.records[id] = r
	}
	if now < r.avoidedUntil {
		return r.avoidedUntil, false // one of several requests that were under way together
	}
	r.avoidedUntil = now + min(maxAvoidance, initialAvoidance<<min(r.consecutiveFailures, 8))
	r.consecutiveFailures++
	return r.avoidedUntil, true
}

func (h *health) removeExpired(now time.Duration) {
	for id, r := range h.records {
		if now > r.avoidedUntil+recordRetention {
			delete(h.records, id)
		}
	}
}

func (h *health) isAvoided(id catalog.EndpointID, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[id]
	return r != nil && now < r.avoidedUntil
}
