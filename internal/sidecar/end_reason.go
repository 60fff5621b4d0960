package sidecar

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// Who or what ended an answer before its end, for the log.
const (
	endedByEngine      = "engine"
	endedByGateway     = "gateway left"
	endedByUnread      = "gateway does not read"
	endedByTimeout     = "call's timeout" // the gateway left then
	endedByGracePeriod = "grace period"
)

// timeoutTolerance is by how much the measured time of a call may differ from the gateway's.
const timeoutTolerance = 50 * time.Millisecond

// endReason returns who or what ended the answer to the call. The error is that of writing it to the gateway, nil if that has not
// failed.
func (s *Sidecar) endReason(r *http.Request, a *admittedCall, writeErr error) string {
	switch {
	case writeErr == nil && r.Context().Err() == nil:
		return endedByEngine
	case s.graceExpired.Load():
		return endedByGracePeriod
	case errors.Is(writeErr, os.ErrDeadlineExceeded):
		return endedByUnread
	case a.call.Timeout > 0 && time.Since(a.arrived) > a.call.Timeout-timeoutTolerance:
		return endedByTimeout
	}
	return endedByGateway
}

// logEnded returns the log entry for an answer that has ended before its end for the error, and counts it.
func (s *Sidecar) logEnded(r *http.Request, a *admittedCall, err, writeErr error) *log.Entry {
	reason := s.endReason(r, a, writeErr)
	telemetry.AttemptEnded(reason)
	return s.logger.Info().Str("request", string(a.call.ID)).Str("framing", string(a.framing)).Str("ended_by", reason).Err(err)
}
