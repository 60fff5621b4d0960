package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/ingress"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

type errorType = errorx.Type

// statusOf maps error kinds to HTTP statuses. 503 and 429 state that the request has not run and will not run. With 502
// and 504 it may have run.
var statusOf = map[*errorx.Type]int{
	fault.BadRequest:        http.StatusBadRequest,
	fault.NotFound:          http.StatusNotFound,
	fault.UnknownWorkspace:  http.StatusUnauthorized,
	fault.TooLarge:          http.StatusRequestEntityTooLarge,
	fault.NotReady:          http.StatusServiceUnavailable,
	fault.NoEndpoint:        http.StatusServiceUnavailable,
	fault.Overloaded:        http.StatusServiceUnavailable,
	fault.SuspectRequest:    http.StatusServiceUnavailable,
	fault.QuarantinedPrompt: http.StatusServiceUnavailable,
	fault.DeadlinePassed:    http.StatusServiceUnavailable,
	fault.LostOutcome:       http.StatusBadGateway,
	fault.EndpointFault:     http.StatusBadGateway,
	fault.Interrupted:       http.StatusGatewayTimeout,
}

const (
	minRetryAfter    = 400 * time.Millisecond  // a busy engine frees a slot in less time
	retryAfterJitter = 1000 * time.Millisecond // spreads the retries of callers that were refused at the same time
)

// writeError answers the caller with the error and logs it. The request may have run; the kind of the error tells. A 503
// answer gets a Retry-After header. The forwarder is nil for a request that was not offered to an endpoint.
func (g *Gateway) writeError(w http.ResponseWriter, a *acceptedCall, err error, f *forwarder) {
	status, known := http.StatusInternalServerError, false
	for kind, mapped := range statusOf {
		if fault.Is(err, kind) {
			status, known = mapped, true
		}
	}
	var refusal *ingress.Refusal
	if errors.As(err, &refusal) {
		status, known = refusal.Status, true
		w.Header().Set("Connection", "close") // the rest of the request is not read
	}
	if !known {
		g.logger.Error().Err(err).Msg("request failed with an error of unknown kind")
	}
	entry := g.logger.Info().Str("outcome", fault.Kind(err)).Int("status", status).Str("cause", err.Error())
	if status == http.StatusServiceUnavailable {
		after := f.retryAfter()
		if errors.Is(err, errStopsBefore) || refusal != nil && refusal.RetryAfter == 0 {
			after = 0
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
		entry.Dur("retry_after", after)
	}
	if a.route != nil {
		telemetry.RequestAnswered(a.route.Name, fault.Kind(err), 0)
	}
	g.addCallFields(entry, a)
	if f != nil {
		if f.ranking.ranked {
			entry.Int("rank", f.ranking.place)
		}
		if reason := f.endReason(); reason != "" {
			entry.Str("ended_by", reason)
		}
		f.addPickFields(f.addVersionFields(entry, f.lastAttempt())).Int("runs", f.possibleRuns()).Dur("took", time.Since(f.arrived))
	}
	entry.Msg("request refused")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	document := struct {
		Kind    string `json:"kind"`
		Message string `json:"message"`
	}{fault.Kind(err), err.Error()}
	if err := json.NewEncoder(w).Encode(document); err != nil {
		g.logger.Debug().Err(err).Msg("caller disconnected before the error was sent")
	}
}

// addCallFields adds the request, its route and the configuration to the log entry, as far as they are known.
func (g *Gateway) addCallFields(entry *log.Entry, a *acceptedCall) {
	if a.call != nil {
		entry.Str("request", string(a.call.ID))
	}
	if a.route != nil {
		entry.Str("route", a.route.Name)
	}
	if a.view.Index != nil {
		entry.Int64("configuration", a.view.Configuration.Version)
	}
	if age, known := g.follower.Age(); known {
		entry.Dur("configuration_age", age)
	}
}
