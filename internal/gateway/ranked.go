package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/call"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/dispatch"
	"github.com/lovageglade/lovageglade/internal/placement"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// ranking is the rank of a call, and the forecasts of the sidecars that refused it for lack of room.
type ranking struct {
	ranked    bool
	rank      int // of the workspace or route, which the engine is told
	place     int // catalog.Precedence, which the sidecar is told
	forecasts map[catalog.EndpointID]time.Duration
	changing  int  // refusals by engines that were changing their weights
	waiting   bool // the call has been offered again to the endpoint with the earliest forecast, to wait there
}

func (f *forwarder) newRanking() ranking {
	if !f.route.Generates || !f.view.Ranked(f.service, f.g.settings.Admission) {
		return ranking{}
	}
	return ranking{ranked: true, rank: catalog.RankOf(f.route, f.workspace), place: catalog.Precedence(f.route, f.workspace), forecasts: make(map[catalog.EndpointID]time.Duration)}
}

// urgency returns the urgency that is stated to the engine; nil for a call without a rank.
func (r *ranking) urgency() *int {
	if !r.ranked {
		return nil
	}
	urgency := min(max(0, r.rank), call.MaxUrgency)
	return &urgency
}

// setRankHeaders tells the sidecar the call's rank and aims.
func (a *attempt) setRankHeaders(header http.Header) {
	f := a.f
	if !f.ranking.ranked {
		return
	}
	header.Set(wire.HeaderRank, strconv.Itoa(f.ranking.place))
	header.Set(wire.HeaderAim, fmt.Sprintf("%d,%d", f.aimLeft().Milliseconds(), f.route.PauseObjective.Milliseconds()))
	if a.waits {
		header.Del(wire.HeaderFirstEvent) // the aim is the bound
	}
}

// removeRankHeaders removes the headers between gateway and sidecar, which a caller may have sent.
func removeRankHeaders(header http.Header) {
	header.Del(wire.HeaderRank)
	header.Del(wire.HeaderAim)
	header.Del(wire.HeaderReturned)
}

// aimLeft returns the time left until the first event is late; 0 if it is late already or never.
func (f *forwarder) aimLeft() time.Duration {
	return max(0, f.route.Objective-time.Since(f.arrived))
}

const (
	// dialShare is the largest share of the route's objective that an endpoint which cannot be reached may cost, so that another
	// one can still answer on time.
	dialShare = 0.25
	// minDialTimeout is several round trips between regions and the time in which a busy process accepts.
	minDialTimeout = 100 * time.Millisecond
)

// dialTimeout returns the bound on the time to connect to an endpoint; 0 for the default, which calls without a rank have.
func (f *forwarder) dialTimeout() time.Duration {
	if !f.ranking.ranked || f.route.Objective == 0 {
		return 0
	}
	share := time.Duration(dialShare * float64(f.route.Objective))
	return min(max(share, minDialTimeout), dispatch.DefaultDialTimeout)
}

// forecastOf returns the sidecar's forecast of when a request of the same rank would start; 0 if it states none.
func forecastOf(header http.Header) time.Duration {
	ms, err := strconv.Atoi(header.Get(wire.HeaderForecast))
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// recordForecast keeps the forecast of a sidecar that refused the call.
func (r *ranking) recordForecast(id catalog.EndpointID, refusal *refusalError) {
	if r.ranked && refusal.forecast > 0 {
		r.forecasts[id] = refusal.forecast
	}
	if r.ranked && refusal.changing {
		r.changing++
	}
}

// changeForecast is how long an engine that changes its weights takes no requests: until its running ones have ended and the
// weights are loaded.
const changeForecast = time.Second

// returnForecasts returns the forecasts on which the caller's return rests, one for each refusal that has one. If the endpoints
// are changing their weights, the few others are full, and their own forecasts do not tell when there is room again.
func (r *ranking) returnForecasts() []time.Duration {
	forecasts := slices.Collect(maps.Values(r.forecasts))
	if r.changing >= len(forecasts) {
		return slices.Repeat([]time.Duration{changeForecast}, r.changing)
	}
	return forecasts
}

// offers returns the number of times that the call was offered to an endpoint.
func (f *forwarder) offers() int {
	if f.ranking.waiting {
		return len(f.tried) + 1
	}
	return len(f.tried)
}

// maxWaitShare is the largest share of the time left until the first event is late that the wait for a start may take. The rest
// is for the prompt.
const maxWaitShare = 0.5

// pickToWait returns the endpoint with the earliest forecast when the call may be offered only once more, and nil if the first
// event could not be on time there or the endpoint may no longer be used. The call is offered to it again, and waits.
func (f *forwarder) pickToWait(endpoints []*catalog.Endpoint, query placement.Query) *catalog.Endpoint {
	if f.ranking.waiting || f.possibleRuns() > 0 || f.offers() != f.endpointLimit()-1 {
		return nil
	}
	earliest := time.Duration(maxWaitShare * float64(f.aimLeft()))
	var best *catalog.Endpoint
	for _, endpoint := range endpoints {
		if forecast, known := f.ranking.forecasts[endpoint.ID]; known && forecast < earliest {
			best, earliest = endpoint, forecast
		}
	}
	if best == nil {
		return nil
	}
	query.Exclude = nil
	best = f.g.placer.Pick([]*catalog.Endpoint{best}, query) // nil if it has withdrawn since
	f.ranking.waiting = best != nil
	return best
}

// retryAfter returns when the caller should return, and counts it. A call that was not offered to an endpoint has a nil
// forwarder.
func (f *forwarder) retryAfter() time.Duration {
	jitter := time.Duration(rand.Int64N(int64(retryAfterJitter)))
	earliest := f.earliestRetry()
	if f == nil || earliest > minRetryAfter {
		return earliest + jitter
	}
	after, known := admission.ReturnAfter(f.ranking.returnForecasts(), f.callerTimeLeft(), rand.Float64())
	if !known {
		return earliest + jitter
	}
	telemetry.ReturnForecast(f.ranking.place)
	return after
}

// callerTimeLeft returns how much longer the caller waits; 0 if it does not tell.
func (f *forwarder) callerTimeLeft() time.Duration {
	if f.call.Timeout == 0 {
		return 0
	}
	return max(time.Millisecond, f.call.Timeout-time.Since(f.arrived))
}
