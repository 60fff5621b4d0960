package gateway

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/catalog"
)

// methodTakeRate is the control method with which gateways ask a delegate for one request of an endpoint's stated rate.
const methodTakeRate = "rate.take"

const (
	// sharedRateFraction of a stated rate is granted by the granter. Two gateways can grant it at the same time while the granter changes,
	// or while some gateways reach only one and others only the other.
	sharedRateFraction = 0.7
	// isolatedRateFraction of a stated rate is used by a gateway that reaches no granter, less if more gateways than
	// sharedRateFraction allows for have asked the granter.
	isolatedRateFraction = 1.0 / 32
	// limiterRetention is how long the limiter of an endpoint is kept after its last use.
	limiterRetention = time.Minute
	// elsewhereWait is stated to a gateway that has asked another one than the granter and does not ask further.
	elsewhereWait = time.Second
)

// takeRateRequest asks for one request to the endpoint.
type takeRateRequest struct {
	Endpoint  catalog.EndpointID
	Born      int64 // of the endpoint's incarnation
	PerSecond float64
	Asker     string      `json:",omitempty"` // control address
	Term      granterTerm // of the granter, as far as the asker knows
}

type takeRateResponse struct {
	Granted   bool
	Wait      time.Duration // until the next request can be granted
	Gateways  int           `json:",omitempty"` // that have asked lately
	Elsewhere *granterTerm  `json:",omitempty"` // of the granter; nil if it is the one that answers
}

func (r takeRateResponse) elsewhere() *granterTerm { return r.Elsewhere }

// rateShare lets the gateways keep together to the request rates that endpoints without a sidecar state. One of them grants the
// requests to each. It is safe for concurrent use.
type rateShare struct {
	group    *delegateGroup
	granted  *limiters    // by this gateway to all gateways
	isolated *limiters    // used while no granter answers
	gateways atomic.Int64 // that ask the granter, as it last told

	mu     sync.Mutex
	askers map[string]time.Duration // when each gateway last asked this one
}

func newRateShare(group *delegateGroup) *rateShare {
	return &rateShare{group: group, granted: newLimiters(), isolated: newLimiters(), askers: make(map[string]time.Duration)}
}

// take takes one request of the endpoint's rate and returns true, or returns the time until it may be asked for again.
func (r *rateShare) take(ctx context.Context, request takeRateRequest, now time.Duration) (wait time.Duration, ok bool) {
	grant := func(request takeRateRequest) takeRateResponse { return r.grant(request, now) }
	of := func(term granterTerm) takeRateRequest {
		request.Asker, request.Term = r.group.self, term
		return request
	}
	response, _, answered := askGranter(ctx, r.group, string(request.Endpoint), methodTakeRate, of, now, grant)
	switch {
	case answered:
		r.gateways.Store(int64(response.Gateways))
		return response.Wait, response.Granted
	case ctx.Err() != nil:
		return 0, false // the caller has left or its time is over
	}
	wait, ok = r.isolated.of(request, now).Take(request.PerSecond*r.isolatedFraction(), now)
	return min(wait, delegateRetryDelay), ok
}

// isolatedFraction returns the fraction of a rate that this gateway uses by itself, so that all gateways together stay within the rate.
func (r *rateShare) isolatedFraction() float64 {
	return min(isolatedRateFraction, sharedRateFraction/float64(max(1, r.gateways.Load())))
}

// serve decides for another gateway.
func (r *rateShare) serve(ctx context.Context, request takeRateRequest, now time.Duration) takeRateResponse {
	if next := r.group.mayGrant(ctx, request.Term); next != nil {
		return takeRateResponse{Wait: elsewhereWait, Elsewhere: next}
	}
	return r.grant(request, now)
}

// grant decides as the granter.
func (r *rateShare) grant(request takeRateRequest, now time.Duration) takeRateResponse {
	wait, ok := r.granted.of(request, now).Take(request.PerSecond*sharedRateFraction, now)
	return takeRateResponse{Granted: ok, Wait: wait, Gateways: r.countAskers(request.Asker, now)}
}

// countAskers records that the gateway has asked, and returns the number of those that have within limiterRetention.
func (r *rateShare) countAskers(asker string, now time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.askers[asker] = now
	maps.DeleteFunc(r.askers, func(_ string, at time.Duration) bool { return now-at > limiterRetention })
	return len(r.askers)
}

// limiters holds one rate limiter per incarnation of an endpoint. It is safe for concurrent use.
type limiters struct {
	mu   sync.Mutex
	byID map[catalog.EndpointID]*usedLimiter
}

type usedLimiter struct {
	admission.RateLimiter
	born   int64
	usedAt time.Duration
}

func newLimiters() *limiters { return &limiters{byID: make(map[catalog.EndpointID]*usedLimiter)} }

// of returns the limiter of the endpoint, and drops those that are no longer used.
func (l *limiters) of(request takeRateRequest, now time.Duration) *usedLimiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, limiter := range l.byID {
		if now-limiter.usedAt > limiterRetention {
			delete(l.byID, id)
		}
	}
	limiter := l.byID[request.Endpoint]
	if limiter == nil || limiter.born != request.Born {
		limiter = &usedLimiter{born: request.Born}
		l.byID[request.Endpoint] = limiter
	}
	limiter.usedAt = now
	return limiter
}
