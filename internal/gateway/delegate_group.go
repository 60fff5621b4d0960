package gateway

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/rpc"
)

const (
	permissionTimeout = 150 * time.Millisecond // many round trips between regions
	// delegateRetryDelay is how long a delegate that did not answer is not asked again.
	delegateRetryDelay = 2 * time.Second
	// maxGranters bounds the gateways that are asked for one permission, each named by the one before.
	maxGranters = 3
)

// delegateGroup asks for permissions that one gateway grants to all: the granter that all gateways know, or, while it cannot be known, one
// of the delegates in this gateway's settings. It is safe for concurrent use.
type delegateGroup struct {
	self      string // control address of this gateway
	delegates []string
	election  *granterElection // nil if there is no table service
	peers     *rpc.Client

	mu      sync.Mutex
	retryAt map[string]time.Duration // delegates that did not answer are not asked before
}

func newDelegateGroup(self string, delegates []string) *delegateGroup {
	if len(delegates) == 0 {
		delegates = []string{self}
	}
	delegates = slices.Sorted(slices.Values(delegates)) // in the same order at all gateways
	return &delegateGroup{self: self, delegates: delegates, peers: rpc.NewClient(), retryAt: make(map[string]time.Duration)}
}

// permission is the answer to a request for a permission.
type permission interface {
	// elsewhere returns the term of the granter that has to be asked instead; nil if the answer is the granter's.
	elsewhere() *granterTerm
}

// askGranter calls the method of the granter and returns its address. At this gateway it calls grant instead. It returns false if no
// granter answers or the context ends. The request states the term of the granter, which learns from it that there may be a later one.
func askGranter[Request any, Response permission](ctx context.Context, d *delegateGroup, key, method string, request func(granterTerm) Request, now time.Duration, grant func(Request) Response) (response Response, address string, ok bool) {
	var none Response
	for range maxGranters {
		term, known := d.currentTerm(ctx)
		if known {
			response, ok = askTerm(ctx, d, term, method, request(term), grant)
			address = term.Address
		} else {
			response, address, ok = askDelegate(ctx, d, key, method, request(term), now, grant)
		}
		if ok && response.elsewhere() == nil {
			return response, address, true
		}
		if d.election == nil || ctx.Err() != nil || !d.election.hasFollower(ctx, term, ok, response) {
			break
		}
	}
	return none, "", false
}

// currentTerm returns the term of the granter; false if it cannot be known.
func (d *delegateGroup) currentTerm(ctx context.Context) (granterTerm, bool) {
	if d.election == nil {
		return granterTerm{}, false
	}
	return d.election.current(ctx)
}

// grantsSince returns when this gateway last became the granter, on the boot clock; 0 if it cannot tell.
func (d *delegateGroup) grantsSince() time.Duration {
	if d.election == nil {
		return 0
	}
	d.election.mu.Lock()
	defer d.election.mu.Unlock()
	return d.election.since
}

// mayGrant returns the term of the granter that has to be asked in place of this gateway by one that knows the term; nil if this one grants.
func (d *delegateGroup) mayGrant(ctx context.Context, asker granterTerm) *granterTerm {
	if d.election == nil {
		return nil
	}
	return d.election.mayGrant(ctx, asker)
}

// askTerm asks the granter of the term. It returns false if that does not answer or is not asked.
func askTerm[Request, Response any](ctx context.Context, d *delegateGroup, term granterTerm, method string, request Request, grant func(Request) Response) (response Response, ok bool) {
	if term.Address == d.self {
		if d.election.mayGrant(ctx, term) != nil {
			return response, false
		}
		return grant(request), true
	}
	if !d.election.mayAsk() {
		return response, false
	}
	err := d.call(ctx, term.Address, method, request, &response)
	if err == nil || ctx.Err() == nil {
		d.election.recordAnswer(term, err == nil)
	}
	return response, err == nil
}

// findGranter returns the granter's control address, "" if it cannot be known. It has the granter replaced if that does not answer.
func (d *delegateGroup) findGranter(ctx context.Context) string {
	term, _ := d.currentTerm(ctx)
	d.check()
	return term.Address
}

// isGranter reports whether this gateway is the granter, or the one of the delegates that the key selects while the granter is not known.
func (d *delegateGroup) isGranter(key string) bool {
	if d.election != nil {
		d.check()
		if granter, known := d.election.known(); known {
			return granter == d.self
		}
	}
	return d.delegates[d.first(key)] == d.self
}

// checkInterval is the time between two checks whether the granter answers.
const checkInterval = 2 * time.Second

// methodCheckGranter is the control method that asks a gateway whether it is the granter.
const methodCheckGranter = "grant.check"

type checkRequest struct{ Term granterTerm }

type checkResponse struct {
	Elsewhere *granterTerm `json:",omitempty"`
}

func (r checkResponse) elsewhere() *granterTerm { return r.Elsewhere }

// check finds out in the background whether the granter answers, and has it replaced if it does not.
func (d *delegateGroup) check() {
	if !d.election.isCheckDue() {
		return
	}
	go func() {
		request := func(term granterTerm) checkRequest { return checkRequest{Term: term} }
		_, _, _ = askGranter(context.Background(), d, "", methodCheckGranter, request, 0, func(checkRequest) checkResponse { return checkResponse{} })
	}()
}

// first returns the index of the delegate that the key selects.
func (d *delegateGroup) first(key string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key)) // never fails
	return int(hash.Sum32() % uint32(len(d.delegates)))
}

// askDelegate calls the method of the delegate that the key selects, or of the next one that answers, and returns its address. At
// this gateway it calls grant instead. It returns false if no delegate answers or the context ends.
func askDelegate[Request, Response any](ctx context.Context, d *delegateGroup, key, method string, request Request, now time.Duration, grant func(Request) Response) (response Response, address string, ok bool) {
	first := d.first(key)
	for i := range d.delegates {
		address = d.delegates[(first+i)%len(d.delegates)]
		if address == d.self {
			return grant(request), address, true
		}
		if !d.mayAsk(address, now) {
			continue
		}
		var response Response
		if err := d.call(ctx, address, method, request, &response); err == nil {
			return response, address, true
		}
		if ctx.Err() != nil {
			return response, "", false
		}
		d.markUnreachable(address, now)
	}
	return response, "", false
}

func (d *delegateGroup) call(ctx context.Context, address, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, permissionTimeout)
	defer cancel()
	return d.peers.Call(ctx, address, method, request, response)
}

func (d *delegateGroup) mayAsk(address string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now >= d.retryAt[address]
}

func (d *delegateGroup) markUnreachable(address string, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryAt[address] = now + delegateRetryDelay
}
