package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/placement"
	"github.com/lovageglade/lovageglade/internal/routing"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

const (
	maxPicks        = 4                // endpoints that one request is offered to, those that refuse it included
	morePicks       = 3                // for a request that an endpoint broke off
	defaultPatience = 30 * time.Second // of a caller that states none, on a route without a time-out
	// lastMoment is kept of the caller's patience for the answer to get back to it.
	lastMoment = 20 * time.Millisecond
)

// flow brings one call to its answer.
type flow struct {
	*accepted
	g       *Gateway
	w       http.ResponseWriter
	arrived time.Time
	ctx     context.Context // ends when the caller leaves or its time is up
	end     context.CancelFunc
	regions catalog.Regions

	tried     map[catalog.EndpointID]bool
	runs      int  // endpoints that may have run it
	sends     int  // endpoints that it reached
	sure      bool // no endpoint runs it or will
	stream    *streamState
	held      *held
	query     placement.Query // of the last pick
	watch     *watch          // of the attempt under way
	last      error           // why the last endpoint gave no answer
	decisions []decision
	leave     func() // ends what the attempt under way holds of an endpoint; nil for nothing
}

func (g *Gateway) newFlow(w http.ResponseWriter, r *http.Request, a *accepted, arrived time.Time) *flow {
	f := &flow{
		accepted: a,
		g:        g,
		w:        w,
		arrived:  arrived,
		regions:  catalog.RegionsOf(a.route, a.workspace),
		tried:    make(map[catalog.EndpointID]bool),
		sure:     true,
	}
	a.service = a.route.Backend(rand.Float64())
	f.ctx, f.end = context.WithDeadline(r.Context(), arrived.Add(f.patience()))
	return f
}

// patience is how long the caller may be kept waiting.
func (f *flow) patience() time.Duration {
	patience := defaultPatience
	if f.route.Timeout > 0 {
		patience = f.route.Timeout
	}
	if f.call.Patience > 0 {
		patience = min(patience, f.call.Patience-lastMoment)
	}
	return patience
}

// run offers the call to endpoints until one answers, and gives the caller exactly one answer.
func (f *flow) run() {
	defer f.end()
	f.g.budget(f.service).Earn()
	for len(f.tried) < f.mostPicks() {
		endpoint := f.pick()
		if endpoint == nil {
			break
		}
		f.tried[endpoint.ID] = true
		f.decide(endpoint)
		if f.attempt(endpoint) {
			f.log(endpoint)
			return
		}
		if f.ctx.Err() != nil || !f.mayGoOn() {
			break
		}
	}
	f.giveUp()
}

// mostPicks is how many endpoints the call may be offered to. What has begun is worth more than what has not.
func (f *flow) mostPicks() int {
	if f.runs > 0 {
		return maxPicks + morePicks
	}
	return maxPicks
}

// log writes the line of a request that got an endpoint's answer.
func (f *flow) log(endpoint *catalog.Endpoint) {
	telemetry.Answered(f.route.Name, "answered", f.untilAnswer())
	entry := f.g.logger.Info().Str("request", string(f.call.ID)).Str("route", f.route.Name).Str("endpoint", string(endpoint.ID)).Int("picks", len(f.tried)).Int("runs", f.runs).Dur("took", time.Since(f.arrived))
	if f.stream != nil {
		entry.Dur("first_event", f.stream.first).Dur("longest_pause", f.stream.pause).Str("last_event", f.stream.last)
	}
	f.addDecisions(entry).Int64("configuration", f.view.Configuration.Version).Msg("request answered")
}

// untilAnswer is the time until the answer, or the first event of a stream.
func (f *flow) untilAnswer() time.Duration {
	if f.stream != nil {
		return f.stream.first
	}
	return time.Since(f.arrived)
}

func (f *flow) pick() *catalog.Endpoint {
	view := f.g.follower.View() // the newest one: an endpoint may have left since the call was accepted
	f.query = placement.Query{
		Regions: f.regions,
		Home:    f.g.settings.Region,
		Exclude: f.tried,
		Now:     f.g.now(),
	}
	if f.route.Generates {
		f.query.Model = f.call.Model
		f.query.Version = f.requiredVersion(view)
	}
	return f.g.placer.Pick(view.Endpoints(f.service), f.query)
}

// mayGoOn tells whether another endpoint may be tried after the last one gave no answer.
func (f *flow) mayGoOn() bool {
	if f.runs > 0 && f.route.Repeat != catalog.Idempotent {
		return false
	}
	if f.runs >= max(1, f.route.MaxAttempts) {
		return false
	}
	return f.sends == 0 || f.g.budget(f.service).Spend()
}

// attempt offers the call to one endpoint. It returns true when the caller has its answer.
func (f *flow) attempt(endpoint *catalog.Endpoint) bool {
	load := f.g.placer.Load(endpoint.ID)
	load.Add(1)
	defer f.release(load)
	attempt, end := context.WithCancel(f.ctx)
	defer end()
	f.watch = f.newWatch(end)
	defer f.watch.stop()
	answer, reply, err := f.send(attempt, endpoint)
	if err != nil {
		f.failed(endpoint, err)
		return false
	}
	if reply.NotRun {
		discard(answer)
		f.last = fault.New(fault.Overloaded, "the endpoint "+string(endpoint.ID)+" refused the request", "come back later")
		f.conclude(f.last)
		f.sends++
		return false
	}
	defer answer.Close()
	f.sends++
	f.runs++
	f.sure = false
	if f.route.Streams && answer.Status == http.StatusOK {
		return f.deliverStream(endpoint, answer, reply)
	}
	if f.stream != nil && f.stream.begun {
		f.broken(endpoint, fault.New(fault.EndpointFault, "the endpoint did not go on with the stream", "look into the endpoint"))
		return false
	}
	return f.deliverWhole(endpoint, answer, reply)
}

// release ends what the attempt holds of the endpoint.
func (f *flow) release(load *routing.Meter) {
	load.Add(-1)
	if f.leave != nil {
		f.leave()
		f.leave = nil
	}
}

// failed takes note of an endpoint that gave no answer.
func (f *flow) failed(endpoint *catalog.Endpoint, err error) {
	f.last = err
	f.conclude(err)
	if isRefusal(err) {
		return
	}
	if f.ctx.Err() == nil {
		f.g.avoid(endpoint)
	}
	f.g.logger.Info().Str("request", string(f.call.ID)).Str("endpoint", string(endpoint.ID)).Bool("not_sent", dispatch.NotSent(err)).Err(err).Msg("endpoint gave no answer")
	if dispatch.NotSent(err) {
		return
	}
	f.sends++
	f.runs++
	f.sure = false
}

// giveUp answers a call that no endpoint answered.
func (f *flow) giveUp() {
	if f.stream != nil && f.stream.begun {
		telemetry.Answered(f.route.Name, "broken_off", f.untilAnswer())
		entry := f.g.logger.Info().Str("request", string(f.call.ID)).Str("last_event", f.stream.last).Dur("took", time.Since(f.arrived))
		f.addDecisions(entry).Msg("stream broken off")
		panic(http.ErrAbortHandler) // ends the connection, so that the stream does not look complete
	}
	if f.held != nil {
		f.write(f.held.answer, f.held.body)
		return
	}
	f.g.refuse(f.w, f.accepted, f.outcome(), f)
}

// outcome is the error that says what is known of the call.
func (f *flow) outcome() error {
	switch {
	case f.sure && f.sends == 0 && f.last == nil:
		return fault.New(fault.NoEndpoint, "no endpoint of "+string(f.service)+" may run the request now", "come back later")
	case f.sure:
		return fault.New(fault.Overloaded, "no endpoint of "+string(f.service)+" took the request", "come back later")
	case f.ctx.Err() != nil:
		return fault.New(fault.Interrupted, "the time for the request passed before its answer was complete", "find out whether it ran before sending it again")
	default:
		return fault.New(fault.LostOutcome, "the endpoint's answer was lost", "find out whether it ran before sending it again")
	}
}

// left is how much longer the caller waits, as the endpoint is told.
func (f *flow) left() time.Duration {
	if f.call.Patience == 0 && f.route.Timeout == 0 {
		return 0
	}
	deadline, _ := f.ctx.Deadline()
	return time.Until(deadline)
}
