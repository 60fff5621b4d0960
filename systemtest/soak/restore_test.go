package soak

import (
	"net/http"
	"time"
)

const restoreOutage = 300 * time.Millisecond // from the loss of the store until its copy serves

// restoreStore makes the store lose its last seconds: it comes back from a copy. Operators and back ends write again what
// they wrote, and the route "moving" is directed to another service, before any process reads the store again. The versions
// of these writes are lower than those that processes have seen.
func (s *system) restoreStore(_ int, duration time.Duration) {
	backup := s.store.Copy()
	time.Sleep(duration)
	s.storeOutage.Lock()
	defer s.storeOutage.Unlock()
	defer s.disruptions.begin(allProcesses)()
	s.store.SetFailStatus(http.StatusServiceUnavailable)
	time.Sleep(restoreOutage)
	seen := s.store.Version()
	s.store.Restore(backup)
	s.writeAgain()
	s.writeRouteMove()
	for s.store.Version() <= seen {
		s.writeEntries(s.engines)
	}
	s.store.SetFailStatus(0)
}

// writeAgain writes the current state of operators and back ends to the store.
func (s *system) writeAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Configure(s.config)
	s.store.SetTargetVersion(testWeights.Model, s.newestVersion)
	for _, domain := range failureDomains {
		s.store.SetEvacuated(string(domain), s.evacuated == string(domain))
	}
	s.writeEntries(s.allBackends)
}

// writeEntries writes the registry entries of the back ends, or removes those of back ends that have left.
func (s *system) writeEntries(backends []*backend) {
	for _, b := range backends {
		if state, _ := b.entryState.Load().(string); state != "" && !b.entryExpired.Load() {
			s.register(b, state)
			continue
		}
		s.store.Unregister(b.Runner)
	}
}
