package routing

import "github.com/cespare/xxhash/v2"

// PrefixBytes is how much of a prompt's start decides its affinity.
const PrefixBytes = 1024

// The bound on an affine endpoint's load, relative to the mean of its tier: 5/4.
const (
	loadBoundNumerator   = 5
	loadBoundDenominator = 4
)

// PrefixHash returns the hash of a prompt's prefix. It is never 0, which stands for no prefix.
func PrefixHash(prompt []byte) uint64 {
	return max(1, xxhash.Sum64(prompt[:min(len(prompt), PrefixBytes)]))
}

// pickByAffinity returns one of the two endpoints that the prefix hashes onto by rendezvous: the less loaded one, the first when
// they are equal, while it has room and its load is within the bound. It returns nil when neither is.
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

// withinLoadBound tells whether the endpoint, with one request more, stays within the bound on its share of the tier's
// load. Each endpoint's share is in proportion to its limit; one request is always within it.
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
