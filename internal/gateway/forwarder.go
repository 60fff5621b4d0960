package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/placement"
	"github.com/lovageglade/lovageglade/internal/quarantine"
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
	g        *Gateway
	w        http.ResponseWriter
	arrived  time.Time
	ctx      context.Context // ends when the caller disconnects or its timeout expires
	cancel   context.CancelFunc
	endCall  context.CancelCauseFunc // ends the context and states why
	regions  catalog.Regions
	parts    []core.PromptPart // by which requests that crash endpoints are recognized
	deadline time.Duration     // of the call, on the boot clock
	chunked  bool              // an answer of unknown length is sent in chunks; false for HTTP/1.0

	// Of the goroutine of run. Attempts do not use them.
	tried        map[catalog.EndpointID]bool
	trialOf      core.PromptPart // quarantined part with which it may pass nevertheless; "" for none
	quarantined  bool            // a part of its prompt is quarantined
	waitsForTurn bool            // it is suspect, and an equal request is being sent
	outdated     bool            // what allowed it to be sent no longer holds
	heldOffCount int             // tried endpoints that wanted no requests at the time
	stream       *streamState
	fallback     *fallbackAnswer // answer for the caller if all further attempts fail; nil if there is none
	lastQuery    placement.Query // of the last pick
	endedBy      string          // who or what ended the last attempt that gave no whole answer; "" for none
	lastErr      error           // why the last endpoint gave no answer
	withheld     error           // why the call was not sent to the endpoint that was picked last; nil if it was
	picks        []*pickRecord
	ranking      ranking // of which attempts use what newRanking sets
	attempts     []*attempt
	open         openAttempts
	silence      silence

	reports chan report // of the attempts
	running conc.WaitGroup
}

func (g *Gateway) newForwarder(w http.ResponseWriter, r *http.Request, a *acceptedCall, arrived time.Time) *forwarder {
	f := &forwarder{
		acceptedCall: a,
		g:            g,
		w:            w,
		arrived:      arrived,
		regions:      catalog.AllowedRegions(a.route, a.workspace),
		parts:        quarantine.PartsOf(a.call),
		tried:        make(map[catalog.EndpointID]bool),
		reports:      make(chan report),
		chunked:      r.ProtoAtLeast(1, 1),
	}
	a.service = a.route.PickService(rand.Float64())
	f.ranking = f.newRanking()
	f.deadline = bootclock.Now() - time.Since(arrived) + f.timeout()
	f.ctx, f.endCall, f.cancel = f.callContext(r.Context())
	return f
}

// timeout returns how long the call may take.
func (f *forwarder) timeout() time.Duration { return timeoutOf(f.route, f.call) }

// timeoutOf returns how long a call of the route may take: the route's timeout (or defaultTimeout if it sets none), or the caller's
// timeout less replyMargin if that is shorter.
func timeoutOf(route *catalog.Route, c *call.Call) time.Duration {
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if c.Timeout > 0 {
		timeout = min(timeout, c.Timeout-replyMargin)
	}
	return timeout
}

// run sends the call to endpoints until one answers, and gives the caller exactly one answer. It is the only goroutine that decides
// what becomes of the call and writes to the caller.
func (f *forwarder) run() {
	defer f.cancel()
	defer func() { f.newCallerWriter().extendDeadline() }() // for the end of the answer, which net/http writes
	defer f.endAttempts()
	f.g.retryBudget(f.service).Deposit()
	_, _ = f.ask() // answerFailure tells the caller why it was sent nowhere
	for len(f.open) > 0 {
		select {
		case r := <-f.reports:
			if f.handle(r) {
				f.logAnswered(r.attempt)
				return
			}
		case <-f.silence.recheck:
			f.recheckSilence()
		}
	}
	f.returnUnusedTrial()
	f.answerFailure()
}

// handle deals with a report. It returns true when the caller has its answer or has left.
func (f *forwarder) handle(r report) (answered bool) {
	a := r.attempt
	a.ended = a.ended || r.isLast()
	delivered := false
	if r.hasContent() {
		defer func() { a.next <- delivered }() // also after a panic, such as the one that aborts the caller's connection
	}
	if !f.open.has(a.id) || r.kind == reportSilent && !a.stall.isDue() {
		return false
	}
	kind := f.judge(r)
	open, next := f.open.after(kind, a.id)
	f.open = open
	for _, id := range next.overtaken {
		f.overtake(f.attempts[id], a)
	}
	if next.deliver {
		answered, delivered = f.deliver(r)
	}
	switch {
	case next.ask && kind == reportSilent:
		f.askBeside(a)
	case next.ask:
		f.askAfterFailure()
	}
	return answered
}

// judge records what the report tells of its endpoint. It returns the kind that the report has for the call: reportFailed for an
// answer that is not for the caller.
func (f *forwarder) judge(r report) reportKind {
	a := r.attempt
	switch r.kind {
	case reportSilent:
		f.recordSilence(a)
	case reportEvent:
		f.recordProgress(a)
	case reportWhole:
		f.recordProgress(a)
		if !f.isUsable(a) {
			return reportFailed
		}
	case reportFailed:
		f.recordFailed(a, r.err)
	}
	return r.kind
}

// deliver passes the content of the report on to the caller. The call is answered when the caller has its whole answer or has left.
func (f *forwarder) deliver(r report) (answered, delivered bool) {
	if r.kind == reportWhole {
		f.deliverWhole(r.attempt)
		return true, true
	}
	delivered = f.deliverEvent(r.attempt, r)
	return !delivered, delivered
}

// Reasons for which a call is sent to no further endpoint. Their texts stand in the log.
var (
	errCallOver      = errors.New("time or caller is gone")
	errMaxRuns       = errors.New("it may run no more often")
	errNoRetryBudget = errors.New("retry budget is used up")
	errMaxOffers     = errors.New("it was offered to enough endpoints")
	errRefusedForAll = errors.New("it was refused for all endpoints")
	errNoneAvailable = errors.New("no endpoint is available")
)

// askAnother sends the call to another endpoint after one that gave no answer or is silent, if it may run there. It takes a token of
// the retry budget if an endpoint may have received the call already. An error says why the call is sent nowhere.
func (f *forwarder) askAnother() (*attempt, error) {
	switch {
	case f.ctx.Err() != nil:
		return nil, errCallOver
	case !f.mayRunAgain():
		return nil, errMaxRuns
	case f.sendCount() == 0 && len(f.open) == 0:
		return f.ask()
	}
	budget := f.g.retryBudget(f.service)
	if !budget.TryWithdraw() {
		return nil, errNoRetryBudget
	}
	asked, err := f.ask()
	if err != nil {
		budget.Return()
	}
	return asked, err
}

// ask picks an endpoint and begins an attempt there. An error says why there is none that may run the call.
func (f *forwarder) ask() (*attempt, error) {
	switch {
	case f.offers() >= f.endpointLimit():
		return nil, errMaxOffers
	case f.refusedEverywhere() || f.isQuarantined():
		return nil, errRefusedForAll
	}
	a := f.pick()
	if a == nil {
		return nil, errNoneAvailable
	}
	if f.withheld = f.g.recheck(f.acceptedCall); f.withheld != nil {
		return nil, f.withheld
	}
	f.begin(a)
	return a, nil
}

// begin starts the attempt.
func (f *forwarder) begin(a *attempt) {
	f.tried[a.endpoint.ID] = true
	a.pick = f.recordPick(a.endpoint)
	a.firstEventBound, a.trial, a.waits = f.firstEventBound(), f.trialOf != "", f.ranking.waiting
	if f.stream != nil {
		a.resumeAfter, a.resumes, a.resumedType = f.stream.lastEventID, f.stream.headerSent, f.stream.contentType
	}
	a.ctx, a.cancel = context.WithCancelCause(f.ctx)
	a.id = len(f.attempts)
	f.attempts = append(f.attempts, a)
	f.open = f.open.begin(a.id)
	f.running.Go(a.run)
}

// endAttempts ends the attempts that are not done and waits until no endpoint, connection or goroutine is held for the call.
func (f *forwarder) endAttempts() {
	for _, a := range f.attempts {
		if !a.ended {
			a.cancel(errCallEnded)
		}
	}
	for _, a := range f.attempts {
		for !a.ended {
			r := <-f.reports
			r.attempt.ended = r.attempt.ended || r.isLast()
			if r.hasContent() {
				r.attempt.next <- false
			}
		}
	}
	f.running.Wait()
	for _, a := range f.attempts {
		a.cancel(nil)
	}
}

// reachedAtLeast returns the number of endpoints at which the call has come that far.
func (f *forwarder) reachedAtLeast(r reach) int {
	count := 0
	for _, a := range f.attempts {
		if a.reach() >= r {
			count++
		}
	}
	return count
}

// possibleRuns returns the number of endpoints that have run the call or may have. While it is 0, no endpoint will.
func (f *forwarder) possibleRuns() int { return f.reachedAtLeast(reachRun) }

// sendCount returns the number of endpoints that may have received the call, including those that state that they did not run it.
func (f *forwarder) sendCount() int { return f.reachedAtLeast(reachRefused) }

// refusedEverywhere reports whether the call was refused for a reason that holds for all endpoints.
func (f *forwarder) refusedEverywhere() bool { return f.quarantined || f.waitsForTurn || f.outdated }

// endpointLimit returns how many endpoints the call may be offered to. A call that may have started gets more of them,
// since work has been spent on it. Those that want no requests count only from maxEndpoints of them on.
func (f *forwarder) endpointLimit() int {
	limit := maxEndpoints + min(f.heldOffCount, maxEndpoints)
	if f.possibleRuns() > 0 {
		limit += extraEndpointsAfterPossibleRun
	}
	return limit
}

// logAnswered logs a call that an endpoint answered, and counts it in the metrics.
func (f *forwarder) logAnswered(a *attempt) {
	telemetry.RequestAnswered(f.route.Name, "answered", f.answerLatency())
	entry := f.g.logger.Info().Str("request", string(f.call.ID)).Str("route", f.route.Name).Str("endpoint", string(a.endpoint.ID)).Int("picks", len(f.tried)).Int("runs", f.possibleRuns()).Str("framing", string(a.framing)).Dur("took", time.Since(f.arrived))
	if f.ctx.Err() != nil {
		entry.Str("ended_by", f.endReason()) // the caller did not get all of it
	}
	if f.stream != nil {
		entry.Dur("first_event", f.stream.firstEvent).Dur("longest_pause", f.stream.longestPause).Str("last_event", f.stream.lastEventID)
	}
	f.addPickFields(f.addVersionFields(f.addIdentity(entry), a)).Int64("configuration", f.view.Configuration.Version).Msg("request answered")
}

// answerLatency returns the time from the arrival of the call to its answer, or to the first event of a stream.
func (f *forwarder) answerLatency() time.Duration {
	if f.stream != nil {
		return f.stream.firstEvent
	}
	return time.Since(f.arrived)
}

// pick picks the next endpoint among those not tried yet, and returns an attempt there that has not begun. It returns nil if there is
// none.
func (f *forwarder) pick() *attempt {
	pickedAt := bootclock.Now()
	view := f.g.follower.View() // the current view: endpoints may have gone since the call was accepted
	f.lastQuery = f.query(view)
	endpoints := view.AvailableEndpoints(f.service)
	endpoint := f.pickToWait(endpoints, f.lastQuery)
	if endpoint == nil {
		endpoint = f.g.placer.Pick(endpoints, f.lastQuery)
	}
	if endpoint == nil {
		return nil
	}
	return &attempt{f: f, endpoint: endpoint, query: f.lastQuery, rollouts: view.Rollouts[f.lastQuery.Model], pickedAt: pickedAt, next: make(chan bool)}
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
		f.g.logRequiredVersion(view, f.service, query)
	}
	return query
}

// mayRunAgain reports whether another endpoint may run the call after those that have run it or may still. The latter include
// endpoints to which an open attempt has not sent it yet.
func (f *forwarder) mayRunAgain() bool {
	runs := 0
	for _, a := range f.attempts {
		if !a.ended || a.reach() == reachRun {
			runs++
		}
	}
	if runs > 0 && (f.trialOf != "" || f.route.Repeat != catalog.Idempotent) {
		return false
	}
	return runs < max(1, f.route.MaxAttempts)
}
