package gateway

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/placement"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// refusalError reports that a sidecar, or the gateway itself while the sidecar is unreachable, refused to send the request
// to the endpoint.
type refusalError struct {
	reason      string
	heldOff     bool // the endpoint wants no requests now; other endpoints are as good as without it
	suspect     bool // an equal request is being sent
	outdated    bool // what allowed the request to be sent no longer holds
	takenBack   bool // the endpoint had received the request and had not begun it
	quarantined bool // all endpoints refuse the request because of a part of its prompt

	forecast time.Duration // time until a request of the same rank would start there; 0 if unknown
	changing bool          // the endpoint is changing its weights
}

// Error implements error.
func (e *refusalError) Error() string {
	return "the request was refused before it reached the endpoint (" + e.reason + "); send it to another endpoint"
}

// asRefusal returns the refusal in err, nil if there is none.
func asRefusal(err error) *refusalError {
	var refusal *refusalError
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}

// send sends the call to the endpoint, through the endpoint's sidecar if there is one and it is reachable.
func (a *attempt) send() (*dispatch.Response, call.ResponseInfo, error) {
	g, request := a.f.g, a.newRequest()
	if !a.f.route.Generates {
		return a.sendAtStatedRate(request)
	}
	now := g.now()
	if g.sidecars.reachable(a.endpoint.ID, now) {
		request.Address = g.relayAddress(a.endpoint)
		a.setSidecarHeaders(request.Header)
		answer, info, err := a.exchange(request)
		if err == nil {
			return a.readSidecarAnswer(answer, info)
		}
		if !dispatch.NotSent(err) || asRefusal(err) != nil || a.ctx.Err() != nil {
			return nil, info, err
		}
		g.sidecars.markUnreachable(a.endpoint.ID, now)
		g.pool.CloseIdle(request.Address)
		g.logger.Warn().Str("endpoint", string(a.endpoint.ID)).Err(err).Msg("sidecar cannot be reached")
	}
	version, proven := g.proven.version(a.endpoint, a.query.Model)
	if !proven {
		return nil, call.ResponseInfo{}, &refusalError{reason: "its sidecar is away and has not stated to this gateway that the version is loaded whole"}
	}
	a.directVersion = version
	request = a.newRequestFor(version)
	request.Header.Del(wire.HeaderFirstEvent)
	request.Header.Del(wire.HeaderMinVersion)
	return a.sendDirect(request)
}

// setSidecarHeaders tells the sidecar on which conditions it may pass the call on.
func (a *attempt) setSidecarHeaders(header http.Header) {
	if a.firstEventBound > 0 {
		header.Set(wire.HeaderFirstEvent, strconv.FormatInt(a.firstEventBound.Milliseconds(), 10))
	}
	if a.query.MinVersion > 0 {
		header.Set(wire.HeaderMinVersion, strconv.FormatInt(a.query.MinVersion, 10))
	}
	a.setRankHeaders(header)
	if a.isRepeatable() {
		header.Set(wire.HeaderRepeatable, "1")
	}
	if a.trial {
		header.Set(wire.HeaderTrial, "1")
	}
}

// firstEventShares are the shares of the route's objective within which the first event must be expected, for the first,
// second and third endpoint that are tried. The last endpoint gets no bound, since a late answer is better than none.
var firstEventShares = [maxEndpoints - 1]float64{0.45, 0.65, 0.85}

// firstEventBound returns the bound beyond which the sidecar of the endpoint that was picked last must refuse the call; 0 for none.
func (f *forwarder) firstEventBound() time.Duration {
	picks := len(f.tried) - f.heldOffCount
	if f.route.Objective == 0 || picks > len(firstEventShares) || f.possibleRuns() > 0 {
		return 0
	}
	return time.Duration(firstEventShares[picks-1] * float64(f.route.Objective))
}

// sendAtStatedRate sends the call to an endpoint without a sidecar, unless that would exceed the request rate that the endpoint
// states.
func (a *attempt) sendAtStatedRate(request *dispatch.Request) (*dispatch.Response, call.ResponseInfo, error) {
	g, endpoint := a.f.g, a.endpoint
	if rate, stated := g.placer.StatedRate(endpoint, g.now()); stated {
		wait, granted := g.rates.take(a.ctx, takeRateRequest{Endpoint: endpoint.ID, Born: endpoint.Born, PerSecond: rate}, g.now())
		if !granted {
			g.placer.RecordHoldOff(endpoint, g.now(), wait)
			return nil, call.ResponseInfo{}, &refusalError{reason: "it has reached the request rate that it states", heldOff: true}
		}
	}
	answer, info, err := a.exchange(request)
	g.recordPlainLoad(endpoint, info)
	return answer, info, err
}

// sendDirect sends the call to an engine whose sidecar is unreachable. It refuses calls to an engine that is cold or states a
// request rate: such an engine takes only a few requests per second, and no gateway knows how many the others send.
func (a *attempt) sendDirect(request *dispatch.Request) (*dispatch.Response, call.ResponseInfo, error) {
	g, endpoint := a.f.g, a.endpoint
	if !placement.ShowsVersion(endpoint, a.query) {
		telemetry.VersionRefused("no sidecar, and the entry does not show the version")
		return nil, call.ResponseInfo{}, &refusalError{reason: "its sidecar is away and its entry does not show the version"}
	}
	if endpoint.IsCold(bootclock.Now()) {
		return nil, call.ResponseInfo{}, &refusalError{reason: "its sidecar is away and it is cold"}
	}
	if _, stated := g.placer.StatedRate(endpoint, g.now()); stated {
		return nil, call.ResponseInfo{}, &refusalError{reason: "its sidecar is away and it states a request rate"}
	}
	if wait, replaced := a.timeToBound(a.directVersion); replaced && !a.isRepeatable() && bootclock.Now()+wait < a.f.deadline {
		return nil, call.ResponseInfo{}, &refusalError{reason: "its sidecar is away, and it may begin the request after the bound of its version"}
	}
	if !g.sidecars.acquireDirectSlot(endpoint.ID) {
		return nil, call.ResponseInfo{}, &refusalError{reason: "its sidecar is away and this gateway's share of it is in use"}
	}
	a.bypasses.Store(true)
	request.Address = endpoint.Address
	return a.exchangeBeforeBound(request, a.directVersion)
}

// newRequest returns the request to the endpoint, addressed to the endpoint itself.
func (a *attempt) newRequest() *dispatch.Request { return a.newRequestFor(a.f.exactVersion()) }

// newRequestFor returns the request as newRequest does. A model engine must run it with the version; 0 for any.
func (a *attempt) newRequestFor(version int64) *dispatch.Request {
	f := a.f
	send := call.SendOptions{Timeout: f.remainingTime(), Endpoint: a.endpoint.ID, Workspace: f.call.Workspace, ResumeAfter: f.call.ResumeAfter}
	if f.route.Generates {
		send.Version = version
		send.Urgency = f.ranking.urgency()
	}
	if a.resumeAfter != "" {
		send.ResumeAfter = a.resumeAfter
	}
	header := f.g.codec.Encode(f.call, send)
	header.Del(wire.HeaderTrial)      // a caller's
	header.Del(wire.HeaderRepeatable) // likewise
	removeRankHeaders(header)
	return &dispatch.Request{
		Address:      a.endpoint.Address,
		Method:       f.call.Method,
		Target:       f.call.Target,
		Host:         f.call.Host,
		Header:       header,
		Body:         f.call.Body,
		NewConn:      f.route.Repeat != catalog.Idempotent || f.call.ID == "", // without an id, a late response cannot be told apart
		Matches:      func(header http.Header) bool { return f.g.answeredID(header) == f.call.ID },
		Unidentified: func(header http.Header) bool { return f.g.answeredID(header) == "" },
		Check:        a.checkSend,
		DialTimeout:  f.dialTimeout(),
	}
}

// answeredID returns the id of the call that a response with the header answers, whether an endpoint or a sidecar sent it; "" if
// it names none.
func (g *Gateway) answeredID(header http.Header) core.RequestID {
	if id := header.Get(wire.HeaderRequest); id != "" {
		return core.RequestID(id)
	}
	return g.codec.DecodeResponse(0, header).ID
}

// exchange sends the request and reads the header of the answer. It records what the endpoint says about further requests.
func (a *attempt) exchange(request *dispatch.Request) (*dispatch.Response, call.ResponseInfo, error) {
	g := a.f.g
	a.sentAt.Store(int64(bootclock.Now()))
	sentAt := g.now()
	answer, err := g.pool.Send(a.ctx, request)
	if err != nil {
		return nil, call.ResponseInfo{}, err
	}
	a.framing = answer.Framing
	info := g.codec.DecodeResponse(answer.Status, answer.Header)
	g.recordWithdrawal(a.endpoint, info.Leaving, info.HoldOff)
	if info.RequestRate != nil || info.Signed {
		g.recordRate(a.endpoint, info.RequestRate, sentAt)
	}
	return answer, info, nil
}

// readSidecarAnswer reads the headers that the sidecar added to the answer and removes them. It returns a refusalError if
// the sidecar refused the call.
func (a *attempt) readSidecarAnswer(answer *dispatch.Response, info call.ResponseInfo) (*dispatch.Response, call.ResponseInfo, error) {
	g, endpoint := a.f.g, a.endpoint
	g.proven.record(endpoint, answer.Header)
	g.recordSidecarLoad(endpoint, answer.Header.Get(wire.HeaderLoad))
	answer.Header.Del(wire.HeaderLoad)
	answer.Header.Del(wire.HeaderRequest)
	if framing := answer.Header.Get(wire.HeaderFraming); framing != "" {
		a.framing = dispatch.Framing(framing)
	}
	answer.Header.Del(wire.HeaderFraming)
	reason := answer.Header.Get(wire.HeaderRefused)
	if reason == "" {
		return answer, info, nil
	}
	holdOff, _ := strconv.Atoi(answer.Header.Get(wire.HeaderHoldOff)) // absent unless the engine holds requests off
	if answer.Header.Get(wire.HeaderChanging) != "" {
		g.placer.RecordRefusal(endpoint.ID, g.now())
	}
	if forecast, err := strconv.Atoi(answer.Header.Get(wire.HeaderForecast)); err == nil { // absent unless it lacks room
		g.placer.RecordForecast(endpoint.ID, g.now(), time.Duration(forecast)*time.Millisecond)
	}
	g.recordWithdrawal(endpoint, answer.Header.Get(wire.HeaderLeaving) != "", time.Duration(holdOff)*time.Millisecond)
	drainAndClose(answer)
	return nil, info, &refusalError{reason: reason, heldOff: holdOff > 0, takenBack: answer.Header.Get(wire.HeaderTakenBack) != "", quarantined: answer.Header.Get(wire.HeaderQuarantined) != "", forecast: forecastOf(answer.Header), changing: answer.Header.Get(wire.HeaderChanging) != ""}
}

// relayAddress returns the address of the sidecar on the endpoint's host.
func (g *Gateway) relayAddress(endpoint *catalog.Endpoint) string {
	host, _, _ := net.SplitHostPort(endpoint.Address) // valid in every endpoint
	return net.JoinHostPort(host, strconv.Itoa(g.settings.RelayPort()))
}

// minVersion returns the oldest version of the model that may run the call; 0 for any.
func (f *forwarder) minVersion(view *catalog.View) int64 {
	return view.Rollouts[f.call.Model].MinVersion(bootclock.Now(), f.g.settings.VersionRolloutMs.Duration()-versionMargin)
}

// exactVersion returns the version that the endpoint must run the call with, or 0 for any. A call can require only one
// version, so the result is 0 while more than one may run it.
func (f *forwarder) exactVersion() int64 {
	view := f.g.follower.View()
	if required := f.minVersion(view); required == view.Rollouts[f.call.Model].Newest() {
		return required
	}
	return 0
}
