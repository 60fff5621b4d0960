// Package placement chooses the endpoint of a gateway's request. Filters exclude endpoints that cannot or must not
// run it, and the lowest score among the rest wins. Ties are broken at random, so that gateways with the same
// information do not all choose the same endpoint.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/routing"
)

// Query holds the inputs of a pick other than the endpoints and their loads.
type Query struct {
	Regions     catalog.Regions
	LocalRegion core.Region // region of the gateway
	Exclude     map[catalog.EndpointID]bool
	Model       core.Model // "" for a plain service
	MinVersion  int64      // the oldest version that may run the request; 0 for any
	Now         time.Duration
}

// Placer picks endpoints by their load and health. It is safe for concurrent use.
type Placer struct {
	meters      *routing.LoadMeters
	health      *health
	withdrawals *withdrawals
	refusals    *refusals
	rates       *statedRates
	speeds      *speeds
	errors      *errorShares
	randIntN    func(n int) int
}

// NewPlacer returns a placer without load reports or failure records.
func NewPlacer() *Placer {
	return &Placer{meters: routing.NewLoadMeters(), health: newHealth(), withdrawals: newWithdrawals(), refusals: newRefusals(), rates: newStatedRates(), speeds: newSpeeds(), errors: newErrorShares(), randIntN: rand.IntN}
}

// Meter returns the load meter of the endpoint. It creates one for a new endpoint.
func (p *Placer) Meter(id catalog.EndpointID) *routing.LoadMeter {
	return p.meters.ForHost(core.HostID(id))
}

// RecordSuccess records that the endpoint answered. It returns true if there was a record of a recent failure.
func (p *Placer) RecordSuccess(id catalog.EndpointID) bool { return p.health.recordSuccess(id) }

// RecordFailure records that the endpoint could not be reached or broke off its answer. It returns the time until which the
// endpoint is avoided, and true if this call started the avoidance.
func (p *Placer) RecordFailure(id catalog.EndpointID, now time.Duration) (until time.Duration, changed bool) {
	return p.health.recordFailure(id, now)
}

// RecordRefusal records that the endpoint refused a request because its weights change. It is used after others for a moment.
func (p *Placer) RecordRefusal(id catalog.EndpointID, now time.Duration) {
	p.refusals.record(id, now, now+refusalMemory)
}

// RecordForecast records that the endpoint refused a request for lack of room and expects room after the wait. It is used after
// others until then.
func (p *Placer) RecordForecast(id catalog.EndpointID, now, wait time.Duration) {
	p.refusals.record(id, now, now+min(max(0, wait), maxForecastMemory))
}

// RecordLeaving records that the endpoint said that it is leaving. It takes no more requests, whatever the registry says. It
// returns true if this was unknown.
func (p *Placer) RecordLeaving(endpoint *catalog.Endpoint, now time.Duration) bool {
	return p.withdrawals.recordLeaving(endpoint, now)
}

// RecordHoldOff records that the endpoint wants no requests for the given time. It returns true if that is longer than what
// was known.
func (p *Placer) RecordHoldOff(endpoint *catalog.Endpoint, now, wait time.Duration) bool {
	return p.withdrawals.recordHoldOff(endpoint, now, now+wait)
}

// RecordRate records the request rate that an answer of the endpoint states, nil for none; the request was sent at requestedAt.
// It returns true if the rate changed.
func (p *Placer) RecordRate(endpoint *catalog.Endpoint, rate *float64, requestedAt, now time.Duration) bool {
	return p.rates.record(endpoint, rate, requestedAt, now)
}

// StatedRate returns the requests per second that the endpoint takes from all hosts together. It returns false if it states
// none.
func (p *Placer) StatedRate(endpoint *catalog.Endpoint, now time.Duration) (perSecond float64, stated bool) {
	return p.rates.rateOf(endpoint, now)
}

// HoldOff returns the time until the first endpoint that the query allows takes requests again. It returns false unless all
// of them have said that they want none, at least one of them only for some time.
func (p *Placer) HoldOff(endpoints []*catalog.Endpoint, query Query) (time.Duration, bool) {
	query.Exclude = nil
	eligible, unconfirmed := filter(endpoints, query)
	earliest, known := p.withdrawals.earliestReturn(append(eligible, unconfirmed...), query.Now)
	return earliest - query.Now, known
}

// Pick returns the endpoint with the lowest score, or nil if none may run the request. It prefers endpoints whose
// registry entry shows a suitable version. If there are none it takes an unconfirmed one, whose sidecar decides.
// Endpoints that failed recently are used only if no others remain, and those that want no requests not at all. Engines that
// state their speed are chosen as pickAmongMany describes.
func (p *Placer) Pick(endpoints []*catalog.Endpoint, query Query) *catalog.Endpoint {
	considered := p.considered(endpoints, query)
	if query.Model != "" && p.speeds.anyStated(considered) {
		return p.pickAmongMany(considered, query)
	}
	return p.lowestScore(considered, query)
}

// considered returns the endpoints among which Pick chooses by their score.
func (p *Placer) considered(endpoints []*catalog.Endpoint, query Query) []*catalog.Endpoint {
	eligible, unconfirmed := filter(p.excludeWithdrawn(endpoints, query.Now), query)
	if len(eligible) == 0 {
		eligible = unconfirmed
	}
	healthy := p.excludeFailing(eligible, query.Now)
	if len(healthy) > 0 {
		eligible = healthy
	}
	if p.speeds.anyStated(eligible) {
		eligible = p.errors.exclude(eligible, query.Now)
	}
	return eligible
}

// lowestScore returns the endpoint with the lowest score, a random one on a tie, or nil if there are no endpoints.
func (p *Placer) lowestScore(endpoints []*catalog.Endpoint, query Query) *catalog.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	start := p.randIntN(len(endpoints))
	var best *catalog.Endpoint
	lowest := 0.0
	for i := range endpoints {
		endpoint := endpoints[(start+i)%len(endpoints)]
		score := p.score(endpoint, query)
		if best == nil || score < lowest {
			best, lowest = endpoint, score
		}
	}
	return best
}
