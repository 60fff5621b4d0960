package gateway

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/admission"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/rpc"
)

// methodTakeRate is the control method with which gateways ask a delegate for one request of an endpoint's stated rate.
const methodTakeRate = "rate.take"

const (
	// sharedRateFraction of a stated rate is granted by one delegate. Two of them can grant it at the same time while some
	// gateways reach only one and others only the other.
	sharedRateFraction = 0.7
	// isolatedRateFraction of a stated rate is used by a gateway that reaches no delegate.
	isolatedRateFraction = 1.0 / 32
	takeRateTimeout      = 150 * time.Millisecond // many round trips between regions
	// takeRateRetryDelay is how long a delegate that did not answer is not asked again.
	takeRateRetryDelay = 2 * time.Second
	// limiterRetention is how long the limiter of an endpoint is kept after its last use.
	limiterRetention = time.Minute
)

// takeRateRequest asks for one request to the endpoint.
type takeRateRequest struct {
	Endpoint  catalog.EndpointID
	Born      int64 // of the endpoint's incarnation
	PerSecond float64
}

type takeRateResponse struct {
	Granted bool
	Wait    time.Duration // until the next request can be granted
}

// rateShare lets the gateways keep together to the request rates that endpoints without a sidecar state. The delegates of the
// store's readers grant each request: one that the endpoint's id selects, or the next one that answers. It is safe for
// concurrent use.
type rateShare struct {
	self      string // control address of this gateway
	delegates []string
	peers     *rpc.Client
	granted   *limiters // by this gateway to all gateways
	isolated  *limiters // used while no delegate answers

	mu      sync.Mutex
	retryAt map[string]time.Duration // delegates that did not answer are not asked before
}

func newRateShare(self string, delegates []string) *rateShare {
	if len(delegates) == 0 {
		delegates = []string{self}
	}
	delegates = slices.Sorted(slices.Values(delegates)) // in the same order at all gateways
	return &rateShare{self: self, delegates: delegates, peers: rpc.NewClient(), granted: newLimiters(), isolated: newLimiters(), retryAt: make(map[string]time.Duration)}
}

// take takes one request of the endpoint's rate and returns true, or returns the time until it may be asked for again.
func (r *rateShare) take(ctx context.Context, request takeRateRequest, now time.Duration) (wait time.Duration, ok bool) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(request.Endpoint)) // never fails
	first := int(hash.Sum32() % uint32(len(r.delegates)))
	for i := range r.delegates {
		address := r.delegates[(first+i)%len(r.delegates)]
		if address == r.self {
			response := r.grant(request, now)
			return response.Wait, response.Granted
		}
		if !r.mayAsk(address, now) {
			continue
		}
		if response, err := r.ask(ctx, address, request); err == nil {
			return response.Wait, response.Granted
		}
		if ctx.Err() != nil {
			return 0, false // the caller has left or its time is over
		}
		r.markUnreachable(address, now)
	}
	wait, ok = r.isolated.of(request, now).Take(request.PerSecond*isolatedRateFraction, now)
	return min(wait, takeRateRetryDelay), ok
}

func (r *rateShare) ask(ctx context.Context, address string, request takeRateRequest) (takeRateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, takeRateTimeout)
	defer cancel()
	var response takeRateResponse
	err := r.peers.Call(ctx, address, methodTakeRate, request, &response)
	return response, err
}

// grant decides as a delegate.
func (r *rateShare) grant(request takeRateRequest, now time.Duration) takeRateResponse {
	wait, ok := r.granted.of(request, now).Take(request.PerSecond*sharedRateFraction, now)
	return takeRateResponse{Granted: ok, Wait: wait}
}

func (r *rateShare) mayAsk(address string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now >= r.retryAt[address]
}

func (r *rateShare) markUnreachable(address string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAt[address] = now + takeRateRetryDelay
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
