package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/completeness"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/quarantine"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// isQuarantined reports whether a part of the request's prompt, or the request itself, is quarantined. Trials are not.
func (s *Sidecar) isQuarantined(r *http.Request, parts []core.PromptPart) bool {
	return len(s.quarantine.Blocked(parts)) > 0 && r.Header.Get(wire.HeaderTrial) == ""
}

// engineCrashed records a crash of the engine and the requests that may have caused it.
func (s *Sidecar) engineCrashed(suspects []quarantine.Suspect, broken int) {
	quarantine.AddSuspects(s.logger.Warn().Int("broken_off", broken), suspects).Msg("engine crashed")
	s.quarantine.RecordCrash(s.engineIncarnation(), suspects)
}

// engineIncarnation returns the incarnation of the engine that the registry lists; "" if it lists none.
func (s *Sidecar) engineIncarnation() quarantine.Incarnation {
	var latest *catalog.Endpoint // the registry may list a restarted engine twice for a while
	for _, endpoint := range s.follower.View().RegisteredEndpoints(s.settings.Service) {
		if endpoint.Address == s.settings.EngineAddress && (latest == nil || endpoint.Born > latest.Born) {
			latest = endpoint
		}
	}
	if latest == nil {
		return ""
	}
	return quarantine.IncarnationOf(latest)
}

// recordProgress records once that the answer has gone on for so long that the call cannot have crashed the engine.
func (s *Sidecar) recordProgress(a *admittedCall) {
	if !a.cleared && time.Since(a.arrived)-a.firstByteAfter > quarantine.BeginWindow {
		a.cleared = true
		s.quarantine.RecordAnswer(a.parts)
	}
}

// confirmEnd returns an error if the answer ended with its connection and the engine is not known to live.
func (s *Sidecar) confirmEnd(r *http.Request, a *admittedCall, answer *dispatch.Response) error {
	if r.Method == http.MethodHead {
		return nil // it has no body
	}
	ask := func(ctx context.Context) (time.Time, error) {
		report, err := s.engine.Report(ctx)
		return report.StartedAt, err
	}
	var before time.Time
	if a.engineStart != 0 {
		before = time.UnixMilli(a.engineStart)
	}
	return completeness.Confirm(r.Context(), answer.Framing, completeness.ByStart(ask, before))
}

// recordEnd records a complete answer.
func (s *Sidecar) recordEnd(a *admittedCall, answer *dispatch.Response) {
	if answer.Status == http.StatusOK && a.answerBegun {
		s.quarantine.RecordAnswer(a.parts)
	}
}

// recordBroken records that the engine gave no answer to the call or broke it off, unless the gateway gave the call up.
func (s *Sidecar) recordBroken(r *http.Request, a *admittedCall) {
	if r.Context().Err() != nil {
		return
	}
	broken := quarantine.BrokenCall{Suspect: quarantine.Suspect{Request: a.call.ID, Parts: a.parts, Omits: quarantine.OmissionOf(a.call), Sent: a.sentAt, Broke: bootclock.Now()}}
	if a.answerBegun {
		broken.WroteFor = time.Since(a.arrived) - a.firstByteAfter
	}
	s.crashes.Record(broken)
}
