package gateway

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

const (
	// sidecarRetryDelay is how long an unreachable sidecar is not tried again: about the time that a process restart takes.
	sidecarRetryDelay = 500 * time.Millisecond
	// maxDirectRequests is how many requests one gateway sends at once to an engine whose sidecar is unreachable. The
	// gateways of a deployment together then stay near the number of the engine's slots.
	maxDirectRequests = 2
	// versionMargin is subtracted from the time within which a version must be replaced, so that a request which was just
	// sent reaches its engine in time.
	versionMargin = 800 * time.Millisecond
)

// sidecarTracker records which sidecars are unreachable, and counts the requests that are sent to their engines directly.
// It is safe for concurrent use.
type sidecarTracker struct {
	mu               sync.Mutex
	unreachableUntil map[catalog.EndpointID]time.Duration
	directRequests   map[catalog.EndpointID]int
}

func newSidecarTracker() *sidecarTracker {
	return &sidecarTracker{unreachableUntil: make(map[catalog.EndpointID]time.Duration), directRequests: make(map[catalog.EndpointID]int)}
}

// reachable reports whether the endpoint's sidecar may be tried at the time now.
func (s *sidecarTracker) reachable(id catalog.EndpointID, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, known := s.unreachableUntil[id]
	if known && now >= until {
		delete(s.unreachableUntil, id)
	}
	return !known || now >= until
}

func (s *sidecarTracker) markUnreachable(id catalog.EndpointID, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachableUntil[id] = now + sidecarRetryDelay
}

// acquireDirectSlot counts a request that is sent to the engine directly, without its sidecar. It returns false if this
// gateway has maxDirectRequests of them at the engine already.
func (s *sidecarTracker) acquireDirectSlot(id catalog.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directRequests[id] >= maxDirectRequests {
		return false
	}
	s.directRequests[id]++
	return true
}

func (s *sidecarTracker) releaseDirectSlot(id catalog.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directRequests[id]--
	if s.directRequests[id] == 0 {
		delete(s.directRequests, id)
	}
}
