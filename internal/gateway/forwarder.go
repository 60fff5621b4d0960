package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/placement"
	"github.com/lovageglade/lovageglade/internal/quarantine"
	"github.com/lovageglade/lovageglade/internal/routing"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

const (
	maxEndpoints                   = 4                // endpoints that one call is offered to, including those that refuse it
	extraEndpointsAfterPossibleRun = 3                // added to maxEndpoints once an endpoint may have started the call
	defaultTimeout                 = 30 * time.Second // if the route sets no timeout
	// replyMargin is subtracted from the caller's timeout so that the answer reaches the caller in time.
	replyMargin = 20 * time.Millisecond
)

// forwarder forwards one call, which is a request of a caller, to endpoints until it has an answer for the caller.
type forwarder struct {
	*acceptedCall
	g       *Gateway
	w       http.ResponseWriter
	arrived time.Time
	ctx     context.Context // ends when the caller disconnects or its timeout expires
	cancel  context.CancelFunc
	endCall context.CancelCauseFunc // ends the context and states why
	regions catalog.Regions
	parts   []core.PromptPart // by which requests that crash endpoints are recognized
	chunked bool              // an answer of unknown length is sent in chunks; false for HTTP/1.0

	tried             map[catalog.EndpointID]bool
	trialOf           core.PromptPart // quarantined part with which it may pass nevertheless; "" for none
	quarantined       bool            // a part of its prompt is quarantined
	waitsForTurn      bool            // it is suspect, and an equal request is being sent
	outdated          bool            // what allowed it to be sent no longer holds
	heldOffCount      int             // tried endpoints that wanted no requests at the time
	possibleRuns      int             // endpoints that have run the call or may have
	sendCount         int             // endpoints that may have received the call, including those that stated that they did not run it
	certainlyNotRun   bool            // no endpoint has run the call or will run it; true exactly while possibleRuns is 0
	stream            *streamState
	fallback          *fallbackAnswer  // answer for the caller if all further attempts fail; nil if there is none
	lastQuery         placement.Query  // query of the last pick
	attemptCtx        context.Context  // of the current attempt
	endedBy           string           // who or what ended the last attempt that gave no whole answer; "" for none
	stall             *stallTimer      // timer of the current attempt
	framing           dispatch.Framing // of the last answer of an endpoint; "" before the first
	lastErr           error            // why the last endpoint gave no answer
	withheld          error            // why the call was not sent to the endpoint that was picked last; nil if it was
	deadline          time.Duration    // of the call, on the boot clock
	pickedAt          time.Duration    // when the current endpoint was picked, on the boot clock
	sentAt            time.Duration    // when the current attempt was sent, on the boot clock
	picks             []pickRecord
	ranking           ranking
	releaseDirectSlot func() // releases the slot of an attempt that bypasses an unreachable sidecar; nil for others
}

func (g *Gateway) newForwarder(w http.ResponseWriter, r *http.Request, a *acceptedCall, arrived time.Time) *forwarder {
	f := &forwarder{
		acceptedCall:    a,
		g:               g,
		w:               w,
		arrived:         arrived,
		regions:         catalog.AllowedRegions(a.route, a.workspace),
		parts:           quarantine.PartsOf(a.call),
		tried:           make(map[catalog.EndpointID]bool),
		certainlyNotRun: true,
		chunked:         r.ProtoAtLeast(1, 1),
	}
	a.service = a.route.PickService(rand.Float64())
	f.ranking = f.newRanking()
	f.deadline = bootclock.Now() - time.Since(arrived) + f.timeout()
	f.ctx, f.endCall, f.cancel = f.callContext(r.Context())
	f.attemptCtx = f.ctx
	return f
}

// timeout returns how long the call may take: the route's timeout (or defaultTimeout if it sets none), or the caller's
// timeout less replyMargin if that is shorter.
func (f *forwarder) timeout() time.Duration {
	timeout := defaultTimeout
	if f.route.Timeout > 0 {
		timeout = f.route.Timeout
	}
	if f.call.Timeout > 0 {
		timeout = min(timeout, f.call.Timeout-replyMargin)
	}
	return timeout
}

// run sends the call to endpoints until one answers, and gives the caller exactly one answer.
func (f *forwarder) run() {
	defer f.cancel()
	defer func() { f.newCallerWriter().extendDeadline() }() // for the end of the answer, which net/http writes
	f.g.retryBudget(f.service).Deposit()
	for f.offers() < f.endpointLimit() && !f.refusedEverywhere() && !f.isQuarantined() {
		endpoint := f.pick()
		if endpoint == nil {
			break
		}
		if f.withheld = f.g.recheck(f.acceptedCall); f.withheld != nil {
			break
		}
		f.tried[endpoint.ID] = true
		f.recordPick(endpoint)
		if f.attempt(endpoint) {
			f.logAnswered(endpoint)
			return
		}
		if f.ctx.Err() != nil || !f.mayRetry() {
			break
		}
	}
	f.returnUnusedTrial()
	f.answerFailure()
}

// refusedEverywhere reports whether the call was refused for a reason that holds for all endpoints.
func (f *forwarder) refusedEverywhere() bool { return f.quarantined || f.waitsForTurn || f.outdated }

// endpointLimit returns how many endpoints the call may be offered to. A call that may have started gets more of them,
// since work has been spent on it. Those that want no requests count only from maxEndpoints of them on.
func (f *forwarder) endpointLimit() int {
	limit := maxEndpoints + min(f.heldOffCount, maxEndpoints)
	if f.possibleRuns > 0 {
		limit += extraEndpointsAfterPossibleRun
	}
	return limit
}

// logAnswered logs a call that an endpoint answered, and counts it in the metrics.
func (f *forwarder) logAnswered(endpoint *catalog.Endpoint) {
	telemetry.RequestAnswered(f.route.Name, "answered", f.answerLatency())
	entry := f.g.logger.Info().Str("request", string(f.call.ID)).Str("route", f.route.Name).Str("endpoint", string(endpoint.ID)).Int("picks", len(f.tried)).Int("runs", f.possibleRuns).Str("framing", string(f.framing)).Dur("took", time.Since(f.arrived))
	if f.ctx.Err() != nil {
		entry.Str("ended_by", f.endReason()) // the caller did not get all of it
	}
	if f.stream != nil {
		entry.Dur("first_event", f.stream.firstEvent).Dur("longest_pause", f.stream.longestPause).Str("last_event", f.stream.lastEventID)
	}
	f.addPickFields(f.addIdentity(entry)).Int64("configuration", f.view.Configuration.Version).Msg("request answered")
}

// answerLatency returns the time from the arrival of the call to its answer, or to the first event of a stream.
func (f *forwarder) answerLatency() time.Duration {
	if f.stream != nil {
		return f.stream.firstEvent
	}
	return time.Since(f.arrived)
}

// pick picks the next endpoint among those not tried yet. It returns nil if there is none.
func (f *forwarder) pick() *catalog.Endpoint {
	f.pickedAt = bootclock.Now()
	view := f.g.follower.View() // the current view: endpoints may have gone since the call was accepted
	f.lastQuery = f.query(view)
	endpoints := view.AvailableEndpoints(f.service)
	if endpoint := f.pickToWait(endpoints, f.lastQuery); endpoint != nil {
		return endpoint
	}
	return f.g.placer.Pick(endpoints, f.lastQuery)
}

// query returns the query for the next pick.
func (f *forwarder) query(view *catalog.View) placement.Query {
	query := placement.Query{
		Regions:     f.regions,
		LocalRegion: f.g.settings.Region,
		Exclude:     f.tried,
		Now:         f.g.now(),
	}
	if f.route.Generates {
		query.Model = f.call.Model
		query.MinVersion = f.minVersion(view)
	}
	return query
}

// mayRetry reports whether another endpoint may be tried after an attempt that gave the caller no answer. It takes a token
// of the retry budget if an endpoint may have received the call already.
func (f *forwarder) mayRetry() bool {
	if f.possibleRuns > 0 && (f.trialOf != "" || f.route.Repeat != catalog.Idempotent) {
		return false
	}
	if f.possibleRuns >= max(1, f.route.MaxAttempts) {
		return false
	}
	return f.sendCount == 0 || f.g.retryBudget(f.service).TryWithdraw()
}

// offer sends the call to one endpoint. It returns true when the caller has its answer.
func (f *forwarder) offer(endpoint *catalog.Endpoint) bool {
	meter := f.g.placer.Meter(endpoint.ID)
	meter.AddInFlight(1)
	defer f.releaseEndpoint(meter)
	attemptCtx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	f.attemptCtx = attemptCtx
	f.stall = f.newStallTimer(func() { cancel(errSilent) })
	defer f.stall.stop()
	answer, info, err := f.send(attemptCtx, endpoint)
	if err != nil {
		f.recordNoAnswer(endpoint, err)
		return false
	}
	telemetry.AnswerReceived(string(f.framing))
	if info.NotRun {
		drainAndClose(answer)
		f.lastErr = fault.New(fault.Overloaded, "the endpoint "+string(endpoint.ID)+" refused the request", "come back later")
		f.recordPickOutcome(f.lastErr)
		f.sendCount++
		return false
	}
	defer answer.Close()
	f.sendCount++
	f.possibleRuns++
	f.certainlyNotRun = false
	if f.route.Streams && answer.Status == http.StatusOK {
		return f.deliverStream(endpoint, answer, info)
	}
	if f.stream != nil && f.stream.headerSent {
		f.recordBrokenAnswer(endpoint, fault.New(fault.EndpointFault, "the endpoint did not resume the stream", "check the endpoint's logs"))
		return false
	}
	return f.deliverBuffered(endpoint, answer, info)
}

// releaseEndpoint takes the attempt off the endpoint's load and releases its slot if it bypassed the sidecar.
func (f *forwarder) releaseEndpoint(meter *routing.LoadMeter) {
	meter.AddInFlight(-1)
	if f.releaseDirectSlot != nil {
		f.releaseDirectSlot()
		f.releaseDirectSlot = nil
	}
}

// recordNoAnswer records an attempt without an answer. The error is a refusalError if the sidecar or this gateway refused
// the call. An endpoint's own refusal is an answer with NotRun and is not recorded here.
func (f *forwarder) recordNoAnswer(endpoint *catalog.Endpoint, err error) {
	f.lastErr = err
	f.recordPickOutcome(err)
	if refusal := asRefusal(err); refusal != nil {
		if refusal.heldOff {
			f.heldOffCount++
		}
		f.quarantined, f.waitsForTurn, f.outdated = refusal.quarantined, refusal.suspect, refusal.outdated
		f.ranking.recordForecast(endpoint.ID, refusal)
		return
	}
	if f.ctx.Err() == nil {
		f.g.recordFailure(endpoint)
	}
	if !dispatch.NotSent(err) {
		f.recordBreak(endpoint)
	}
	entry := f.g.logger.Info().Str("request", string(f.call.ID)).Str("endpoint", string(endpoint.ID)).Bool("not_sent", dispatch.NotSent(err)).Err(err)
	f.addEndReason(f.addIdentity(entry)).Msg("endpoint gave no answer")
	if dispatch.NotSent(err) {
		return
	}
	f.sendCount++
	f.possibleRuns++
	f.certainlyNotRun = false
}

// answerFailure answers a call that no endpoint answered successfully.
func (f *forwarder) answerFailure() {
	if f.stream != nil && f.stream.headerSent {
		telemetry.RequestAnswered(f.route.Name, "broken_off", f.answerLatency())
		entry := f.g.logger.Info().Str("request", string(f.call.ID)).Str("last_event", f.stream.lastEventID).Dur("took", time.Since(f.arrived))
		f.addPickFields(entry).Str("ended_by", f.endReason()).Msg("stream broken off")
		f.abortAnswer()
	}
	if f.fallback != nil {
		f.writeAnswer(f.fallback.answer, f.fallback.body)
		return
	}
	f.g.writeError(f.w, f.acceptedCall, f.finalError(), f)
}

// finalError returns the error for the caller. Its kind tells whether the call may have run.
func (f *forwarder) finalError() error {
	switch {
	case f.certainlyNotRun && f.quarantined:
		return fault.New(fault.QuarantinedPrompt, "the request or a part of its prompt has crashed endpoints", "change the request, or come back later")
	case f.certainlyNotRun && f.withheld != nil:
		return f.withheld
	case f.certainlyNotRun && f.outdated:
		return fault.New(fault.NotReady, "too much time has passed since the request was checked, or its key is no longer valid", "retry shortly")
	case f.certainlyNotRun && f.waitsForTurn:
		return fault.New(fault.SuspectRequest, "endpoints have ended under equal requests, of which one is being sent", "come back later")
	case f.certainlyNotRun && f.sendCount == 0 && f.lastErr == nil:
		return fault.New(fault.NoEndpoint, "no endpoint of "+string(f.service)+" may run the request now", "come back later")
	case f.certainlyNotRun:
		return fault.New(fault.Overloaded, "no endpoint of "+string(f.service)+" took the request", "come back later")
	case f.ctx.Err() != nil:
		return fault.New(fault.Interrupted, "the request timed out before its answer was complete", "check whether it ran before sending it again")
	default:
		return fault.New(fault.LostOutcome, "the endpoint's answer was lost", "check whether it ran before sending it again")
	}
}

// remainingTime returns the time left, which is sent to the endpoint. 0 means that none is sent, because neither the caller
// nor the route sets a timeout.
func (f *forwarder) remainingTime() time.Duration {
	if f.call.Timeout == 0 && f.route.Timeout == 0 {
		return 0
	}
	return f.deadline - bootclock.Now()
}

// earliestRetry returns the shortest time after which the caller's retry can succeed: minRetryAfter, or longer while all
// endpoints of the service want no requests. A call that was not offered to an endpoint has a nil forwarder.
func (f *forwarder) earliestRetry() time.Duration {
	if f == nil {
		return minRetryAfter
	}
	if f.quarantined && f.certainlyNotRun {
		return quarantineRetryAfter
	}
	query := f.lastQuery
	query.Now = f.g.now()
	holdOff, _ := f.g.placer.HoldOff(f.g.follower.View().AvailableEndpoints(f.service), query)
	return max(minRetryAfter, holdOff)
}
