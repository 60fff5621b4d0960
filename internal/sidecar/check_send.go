package sidecar

import (
	"errors"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
)

// maxSendDelay is the longest time from the admission of a request until it is sent to the engine on the same host. Only a process
// that is delayed itself takes longer.
const maxSendDelay = 500 * time.Millisecond

// withdrawnError reports that a request was not sent since its admission no longer holds.
type withdrawnError struct{ reason string }

// Error implements error.
func (e *withdrawnError) Error() string {
	return "the request was not sent (" + e.reason + "); send it to another engine"
}

// checkSend returns a withdrawnError if the request's admission no longer holds, just before its first byte is sent.
func (s *Sidecar) checkSend(a *admittedCall) error {
	leaving, holdOff := s.withdrawn()
	switch {
	case leaving:
		return &withdrawnError{refusedLeaving}
	case holdOff > 0:
		return &withdrawnError{refusedHeldOff}
	case !s.canServe(a.version), a.version != s.servingVersion.Load():
		return &withdrawnError{refusedLoading}
	case bootclock.Now()-a.sentAt >= maxSendDelay:
		return &withdrawnError{refusedDelayed}
	}
	return nil
}

// reasonNotSent returns the reason of a refusal after the request was not sent because of the error.
func reasonNotSent(err error) string {
	var withdrawn *withdrawnError
	if errors.As(err, &withdrawn) {
		return withdrawn.reason
	}
	return refusedUnreachable
}
