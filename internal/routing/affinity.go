package routing

import "github.com/cespare/xxhash/v2"

// PrefixBytes is the number of leading bytes of a prompt that are hashed for prefix affinity.
const PrefixBytes = 1024

// An endpoint chosen by affinity may carry at most 5/4 of its share of the load of its tier.
const (
	loadBoundNumerator   = 5
	loadBoundDenominator = 4
)

// PrefixHash returns the hash of the first PrefixBytes bytes of the prompt. It never returns 0, which Query.Prefix
// uses for "no prefix".
func PrefixHash(prompt []byte) uint64 {
	return max(1, xxhash.Sum64(prompt[:min(len(prompt), PrefixBytes)]))
}

// pickByAffinity ranks the endpoints that are not excluded by rendezvous hashing of the prefix and takes the top two.
// Of these it returns the less loaded one (the first on a tie) that has capacity and is within the load bound, or nil
// if neither qualifies.
func (t tier) pickByAffinity(query Query) *Endpoint {
	var first, second *Endpoint
	var firstWeight, secondWeight uint64
	load, limit := int64(0), int64(0)
	for _, endpoint := range t {
		load += endpoint.load(query.Now)
		limit += endpoint.limit(query.Now)
		if len(query.Exclude) > 0 && query.Exclude[endpoint.Host.ID] {
			continue
		}
		weight := mix(query.Prefix ^ endpoint.hash)
		switch {
		case weight > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = endpoint, weight
		case weight > secondWeight:
			second, secondWeight = endpoint, weight
		}
	}
	if second != nil && second.lessLoaded(first, query.Now) {
		first, second = second, first
	}
	if first != nil && first.withinLoadBound(load, limit, query) {
		return first
	}
	if second != nil && second.withinLoadBound(load, limit, query) {
		return second
	}
	return nil
}

// withinLoadBound reports whether the endpoint has capacity and, with one more request, stays within the bound on its
// share of the tier's load. Shares are proportional to the endpoints' limits. The first request at an idle endpoint
// is always within the bound.
func (e *Endpoint) withinLoadBound(tierLoad, tierLimit int64, query Query) bool {
	if !e.hasCapacity(query.Now) {
		return false
	}
	newLoad := e.load(query.Now) + 1
	if newLoad == 1 {
		return true
	}
	return newLoad*tierLimit*loadBoundDenominator <= (tierLoad+1)*e.limit(query.Now)*loadBoundNumerator
}
