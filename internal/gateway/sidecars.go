package gateway

import (
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

const (
	// sidecarRetry follows a sidecar that could not be reached: about the time in which a process is restarted.
	sidecarRetry = 500 * time.Millisecond
	// directShare is how many requests a gateway has at once at an engine whose sidecar is away: as many as keep all
	// gateways of a deployment together near the slots of an engine.
	directShare = 2
	// versionMargin before the bound on a version: a request sent then reaches its engine in time.
	versionMargin = 800 * time.Millisecond
)

// sidecars remembers which sidecars could not be reached, and what goes straight to their engines. It is safe for
// concurrent use.
type sidecars struct {
	mu     sync.Mutex
	until  map[catalog.EndpointID]time.Duration
	direct map[catalog.EndpointID]int
}

func newSidecars() *sidecars {
	return &sidecars{until: make(map[catalog.EndpointID]time.Duration), direct: make(map[catalog.EndpointID]int)}
}

func (s *sidecars) reachable(id catalog.EndpointID, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, known := s.until[id]
	if known && now >= until {
		delete(s.until, id)
	}
	return !known || now >= until
}

func (s *sidecars) lost(id catalog.EndpointID, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[id] = now + sidecarRetry
}

func (s *sidecars) enterDirect(id catalog.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.direct[id] >= directShare {
		return false
	}
	s.direct[id]++
	return true
}

func (s *sidecars) leaveDirect(id catalog.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.direct[id]--
	if s.direct[id] == 0 {
		delete(s.direct, id)
	}
}
