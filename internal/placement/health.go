package placement

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

const (
	// initialAvoidance is how long an endpoint is avoided after a first failure. It is about the time until the registry
	// entry of a crashed endpoint changes.
	initialAvoidance = time.Second
	// maxAvoidance bounds the backoff, because only a live request shows that an endpoint has recovered.
	maxAvoidance    = 8 * time.Second
	recordRetention = time.Minute // after the avoidance ends; bounds the memory for removed endpoints
)

// health records the endpoints that failed recently. Each consecutive failure doubles the time for which an endpoint
// is avoided, up to maxAvoidance. It is safe for concurrent use.
type health struct {
	mu      sync.Mutex
	records map[catalog.EndpointID]*failureRecord
}

type failureRecord struct {
	consecutiveFailures int
	avoidedUntil        time.Duration
}

func newHealth() *health { return &health{records: make(map[catalog.EndpointID]*failureRecord)} }

// recordSuccess drops the failure record of the endpoint. It returns whether there was one.
func (h *health) recordSuccess(id catalog.EndpointID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	hadFailed := h.records[id] != nil
	delete(h.records, id)
	return hadFailed
}

// recordFailure starts an avoidance of the endpoint and returns when it ends, and true. During an avoidance it
// changes nothing and returns false.
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
		return r.avoidedUntil, false // a concurrent request failed first; count the failure once
	}
	r.avoidedUntil = now + min(maxAvoidance, initialAvoidance<<min(r.consecutiveFailures, 8))
	r.consecutiveFailures++
	return r.avoidedUntil, true
}

// removeExpired drops the records whose avoidance ended more than recordRetention ago. The caller holds h.mu.
func (h *health) removeExpired(now time.Duration) {
	for id, r := range h.records {
		if now > r.avoidedUntil+recordRetention {
			delete(h.records, id)
		}
	}
}

// isAvoided reports whether the endpoint is avoided at the given time.
func (h *health) isAvoided(id catalog.EndpointID, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[id]
	return r != nil && now < r.avoidedUntil
}
