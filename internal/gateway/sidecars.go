package gateway

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

const (
	// sidecarRetry follows a sidecar that could not be reached: about the time in which a process is restarted.
	sidecarRetryDelay = 500 * time.Millisecond
	// directShare is how many requests a gateway has at once at an engine whose sidecar is away: as many as keep all
	// gateways of a deployment together near the slots of an engine.
	maxDirectRequests = 2
	// versionMargin before the bound on a version: a request sent then reaches its engine in time.
	versionMargin = 800 * time.Millisecond
)

// sidecars remembers which sidecars could not be reached, and what goes straight to their engines. It is safe for
// concurrent use.
type sidecarTracker struct {
	mu               sync.Mutex
	unreachableUntil map[catalog.EndpointID]time.Duration
	directRequests   map[catalog.EndpointID]int
}

func newSidecarTracker() *sidecarTracker {
	return &sidecarTracker{unreachableUntil: make(map[catalog.EndpointID]time.Duration), directRequests: make(map[catalog.EndpointID]int)}
}

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
