package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// engineSpeed is what the engine says about how long its work takes now. It is safe for concurrent use.
type engineSpeed struct {
	mu       sync.Mutex
	varies   bool // the engine's answers state a slowdown, which then changes many times a second
	slowdown admission.Slowdown
}

// recordAnswer records the slowdown that an answer states; 0 for none.
func (e *engineSpeed) recordAnswer(slowdown float64, now time.Duration) {
	if slowdown == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.varies = true
	e.slowdown.Record(slowdown, now)
}

// recordReport records the slowdown in a report of the engine; 0 if there was no report.
func (e *engineSpeed) recordReport(slowdown float64, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown.Record(slowdown, now)
}

// estimate returns the slowdown at the time now. It returns false if the engine's answers state none: its reports then hold
// until the next one.
func (e *engineSpeed) estimate(now time.Duration) (slowdown float64, varies bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slowdown.Estimate(now), e.varies
}

// recordEngineLoad records the load that an answer of the engine states, and logs the first invalid one.
func (s *Sidecar) recordEngineLoad(info call.ResponseInfo) {
	if info.LoadErr != nil {
		telemetry.LoadReportReceived("invalid")
		s.invalidLoad.Do(func() { s.logger.Warn().Err(info.LoadErr).Msg("engine's load report is not used") })
	}
	if info.Load == nil {
		return
	}
	telemetry.LoadReportReceived("engine")
	s.speed.recordAnswer(info.Load.Slowdown, bootclock.Now())
}

// recordEngineReport records the start and the slowdown in a report of the engine.
func (s *Sidecar) recordEngineReport(report EngineReport) {
	now := bootclock.Now()
	if !report.StartedAt.IsZero() {
		s.engineStart.Store(report.StartedAt.UnixMilli())
	}
	s.speed.recordReport(report.Slowdown, now)
	if _, varies := s.speed.estimate(now); !varies {
		s.prompts.SetSlowdown(report.Slowdown)
	}
}

// updateSlowdown makes forecasts use the slowdown that is expected now.
func (s *Sidecar) updateSlowdown() {
	if slowdown, varies := s.speed.estimate(bootclock.Now()); varies {
		s.prompts.SetSlowdown(slowdown)
	}
}

// setLoadHeader states the load of the engine, and its speed if that varies.
func (s *Sidecar) setLoadHeader(header http.Header) {
	load := s.gate.Load()
	text := fmt.Sprintf("%d,%d,%d", load.Running, load.Queued, load.Limit)
	if slowdown, varies := s.speed.estimate(bootclock.Now()); varies {
		text += fmt.Sprintf(",%.0f,%d", slowdown*percent, s.prompts.PendingTokens())
	}
	header.Set(wire.HeaderLoad, text)
}

const percent = 100
