package sidecar

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
)

// canServe reports whether the engine may run a request that needs at least the version. It checks the serve deadline
// itself, since the updater may be waiting for the origin when the deadline passes.
func (s *Sidecar) canServe(minVersion int64) bool {
	version := s.servingVersion.Load()
	serveDeadline := s.serveDeadline.Load()
	return version > 0 && version >= minVersion && (serveDeadline == 0 || int64(bootclock.Now()) < serveDeadline)
}

// beginsBeforeDeadline reports whether a request whose first event comes after the given time at the latest begins before the deadline
// of the served version, with serveMargin to spare.
func (s *Sidecar) beginsBeforeDeadline(after time.Duration) bool {
	serveDeadline := s.serveDeadline.Load()
	return serveDeadline == 0 || int64(bootclock.Now()+after) < serveDeadline
}

// serveTimeLeft returns the time left to serve the version; 0 if it is not being replaced.
func (s *Sidecar) serveTimeLeft() time.Duration {
	deadline := s.serveDeadline.Load()
	if deadline == 0 {
		return 0
	}
	return time.Duration(deadline) - bootclock.Now()
}
