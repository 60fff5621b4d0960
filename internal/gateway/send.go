package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/placement"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// refusalError says that a sidecar or the gateway itself did not let the request through to the endpoint.
type refusalError struct{ reason string }

// Error implements error.
func (e *refusalError) Error() string {
	return "the request was not let through to the endpoint (" + e.reason + "); send it to another one"
}

func isRefusal(err error) bool {
	var refusal *refusalError
	return errors.As(err, &refusal)
}

// send sends the call to the endpoint, through its sidecar if it has one that can be reached.
func (f *forwarder) send(ctx context.Context, endpoint *catalog.Endpoint) (*dispatch.Answer, call.Reply, error) {
	request := f.newRequest(endpoint)
	if !f.route.Generates {
		return f.exchange(ctx, request)
	}
	now := f.g.now()
	if f.g.sidecars.reachable(endpoint.ID, now) {
		request.Address = f.g.relayAddress(endpoint)
		f.setFirstEventBound(request.Header)
		f.setMinVersion(request.Header)
		answer, reply, err := f.exchange(ctx, request)
		if err == nil {
			return f.readSidecarAnswer(endpoint, answer, reply)
		}
		if !dispatch.NotSent(err) || f.ctx.Err() != nil {
			return nil, reply, err
		}
		f.g.sidecars.markUnreachable(endpoint.ID, now)
		f.g.pool.Forget(request.Address)
		f.g.logger.Warn().Str("endpoint", string(endpoint.ID)).Err(err).Msg("sidecar cannot be reached")
	}
	request.Header.Del(wire.HeaderFirstEvent)
	request.Header.Del(wire.HeaderLeastVersion)
	return f.sendDirect(ctx, endpoint, request)
}

// firstEventShares of a route's objective bound the first event at the first endpoints that are asked, one after the
// other. The last one that may be asked takes the request whatever it expects: late is better than never.
var firstEventShares = [maxEndpoints - 1]float64{0.45, 0.65, 0.85}

// boundFirstEvent asks the sidecar to refuse the call if its first event would come late there.
func (f *forwarder) setFirstEventBound(header http.Header) {
	picks := len(f.tried)
	if f.route.Objective == 0 || picks > len(firstEventShares) || f.possibleRuns > 0 {
		return
	}
	bound := time.Duration(firstEventShares[picks-1] * float64(f.route.Objective))
	header.Set(wire.HeaderFirstEvent, strconv.FormatInt(bound.Milliseconds(), 10))
}

// requireVersion asks the sidecar to refuse the call if its engine runs an older version than may run it.
func (f *forwarder) setMinVersion(header http.Header) {
	if f.lastQuery.Version > 0 {
		header.Set(wire.HeaderLeastVersion, strconv.FormatInt(f.lastQuery.Version, 10))
	}
}

// direct sends the call straight to an engine whose sidecar is away. A cold engine bears few requests a second, and only
// its sidecar knows what all gateways send.
func (f *forwarder) sendDirect(ctx context.Context, endpoint *catalog.Endpoint, request *dispatch.Request) (*dispatch.Answer, call.Reply, error) {
	if !placement.Holds(endpoint, f.lastQuery) {
		return nil, call.Reply{}, &refusalError{reason: "its sidecar is away and its entry does not show the version"}
	}
	if endpoint.Cold(bootclock.Now()) {
		return nil, call.Reply{}, &refusalError{reason: "its sidecar is away and it is cold"}
	}
	if !f.g.sidecars.acquireDirectSlot(endpoint.ID) {
		return nil, call.Reply{}, &refusalError{reason: "its sidecar is away and this gateway's share of it is in use"}
	}
	f.releaseDirectSlot = func() { f.g.sidecars.releaseDirectSlot(endpoint.ID) }
	request.Address = endpoint.Address
	return f.exchange(ctx, request)
}

func (f *forwarder) newRequest(endpoint *catalog.Endpoint) *dispatch.Request {
	send := call.Send{Patience: f.remainingTime(), Endpoint: endpoint.ID, ResumeAfter: f.call.ResumeAfter}
	if f.workspace != nil {
		send.Workspace = f.workspace.Name
	}
	if f.route.Generates {
		send.Version = f.exactVersion()
	}
	if f.stream != nil && f.stream.lastEventID != "" {
		send.ResumeAfter = f.stream.lastEventID
	}
	return &dispatch.Request{
		Address: endpoint.Address,
		Method:  f.call.Method,
		Target:  f.call.Target,
		Host:    f.call.Host,
		Header:  f.g.codec.Encode(f.call, send),
		Body:    f.call.Body,
		Fresh:   f.route.Repeat != catalog.Idempotent,
		Matches: func(header http.Header) bool {
			id := f.g.codec.Reply(0, header).ID
			return id == "" || id == f.call.ID
		},
	}
}

func (f *forwarder) exchange(ctx context.Context, request *dispatch.Request) (*dispatch.Answer, call.Reply, error) {
	answer, err := f.g.pool.Send(ctx, request)
	if err != nil {
		return nil, call.Reply{}, err
	}
	return answer, f.g.codec.Reply(answer.Status, answer.Header), nil
}

// fromSidecar reads what the sidecar added to the answer, and takes it off.
func (f *forwarder) readSidecarAnswer(endpoint *catalog.Endpoint, answer *dispatch.Answer, reply call.Reply) (*dispatch.Answer, call.Reply, error) {
	if load, ok := parseLoad(answer.Header.Get(wire.HeaderLoad)); ok {
		f.g.placer.Load(endpoint.ID).Report(load, f.g.now())
	}
	answer.Header.Del(wire.HeaderLoad)
	reason := answer.Header.Get(wire.HeaderRefused)
	if reason == "" {
		return answer, reply, nil
	}
	drainAndClose(answer)
	return nil, reply, &refusalError{reason: reason}
}

func parseLoad(text string) (wire.Load, bool) {
	var load wire.Load
	n, err := fmt.Sscanf(text, "%d,%d,%d", &load.Running, &load.Queued, &load.Limit)
	return load, err == nil && n == 3
}

// relayAddress is where the sidecar on the endpoint's machine listens.
func (g *Gateway) relayAddress(endpoint *catalog.Endpoint) string {
	host, _, _ := strings.Cut(endpoint.Address, ":")
	return host + ":" + strconv.Itoa(g.settings.RelayPort())
}

// requiredVersion is the oldest version of the model that may run the call; 0 for any.
func (f *forwarder) minVersion(view *catalog.View) int64 {
	return view.Wanted[f.call.Model].MinVersion(bootclock.Now(), f.g.settings.VersionMs.Duration()-versionMargin)
}

// exactVersion is the version that the endpoint is told to run the call with, or 0 for any. An endpoint can only be
// told one, so nothing is said while two may run it.
func (f *forwarder) exactVersion() int64 {
	view := f.g.follower.View()
	if required := f.minVersion(view); required == view.Wanted[f.call.Model].Newest() {
		return required
	}
	return 0
}
