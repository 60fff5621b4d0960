package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// refusedByPrompts holds the reasons of refusals by what limits the prompt.
var refusedByPrompts = map[admission.PromptLimit]string{
	admission.BoundLimit:      refusedLateFirstEvent,
	admission.FirstEventLimit: "prompt would delay the first event of another request",
	admission.PauseLimit:      "prompt would lengthen the pauses of running streams",
}

// promptDemand returns what the call's prompt asks of the engine, with the aims that the gateway's header states. The gateway
// counts them from the call's arrival.
func promptDemand(c *call.Call, r *http.Request, arrived time.Time, now time.Duration) admission.Demand {
	demand := admission.Demand{Workspace: c.Workspace, PromptTokens: c.PromptTokens}
	firstEvent, pause := aimOf(r.Header)
	if firstEvent > 0 {
		demand.FirstEventBy = now - time.Since(arrived) + firstEvent
	}
	demand.LongestPause = pause
	return demand
}

// setDelayHeader tells the gateway of a refused request with an aim by how much its first event would come later than at an idle
// engine, so that the request can come back here if other engines would delay it more.
func (s *Sidecar) setDelayHeader(header http.Header, demand admission.Demand, estimate time.Duration, limit admission.PromptLimit) {
	if limit != admission.BoundLimit || demand.FirstEventBy == 0 {
		return
	}
	if delay := s.prompts.CostModel().Delay(estimate, demand.PromptTokens); delay > 0 {
		setForecastHeader(header, delay)
	}
}

// setForecastHeader states the forecast, rounded up to milliseconds.
func setForecastHeader(header http.Header, forecast time.Duration) {
	header.Set(wire.HeaderForecast, strconv.FormatInt(forecast.Milliseconds()+1, 10))
}
