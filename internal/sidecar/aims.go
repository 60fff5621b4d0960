package sidecar

import (
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/call"
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
