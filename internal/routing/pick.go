// Package routing chooses the endpoint of an attempt.
//
// Filters exclude endpoints that cannot run it. The others are grouped into tiers by locality and version. Within a
// tier, prefix affinity or the power of two choices selects an endpoint by its estimated load. The index of the
// endpoints is built when the view of the cluster changes. A pick reads the index without locks and without
// allocations.
package routing

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Query holds the inputs of a pick other than the index and the loads.
type Query struct {
	Exclude map[core.HostID]bool // hosts that already refused the request
	Prefix  uint64               // PrefixHash of the prompt, 0 for none
	Seed    uint64               // seed of the pick's pseudo-random choices
	Now     time.Duration        // on the same clock as the load reports
}

// Pick returns an endpoint of the nearest tier in which one has capacity. If none has, it returns an endpoint of the
// nearest tier in which one is not excluded, where the request queues. It returns nil if every endpoint is excluded.
func (s *Service) Pick(query Query) *Endpoint {
	var fallback *Endpoint
	for _, tier := range s.tiers {
		chosen := tier.pick(query)
		if chosen == nil {
			continue
		}
		if chosen.hasCapacity(query.Now) {
			return chosen
		}
		if fallback == nil {
			fallback = chosen
		}
	}
	return fallback
}

// pick returns the endpoint that prefix affinity selects, else the less loaded of two random endpoints, else any
// endpoint with capacity. If none has capacity it returns the less loaded of the two, or nil if every endpoint is
// excluded.
func (t tier) pick(query Query) *Endpoint {
	if len(t) == 0 {
		return nil
	}
	if query.Prefix != 0 {
		if chosen := t.pickByAffinity(query); chosen != nil {
			return chosen
		}
	}
	chosen := t.pickOfTwoChoices(query)
	if chosen == nil || chosen.hasCapacity(query.Now) {
		return chosen
	}
	if alternative := t.firstWithCapacity(query); alternative != nil {
		return alternative
	}
	return chosen
}

// pickOfTwoChoices draws two endpoints at random and returns the less loaded one, or nil if every endpoint is
// excluded.
func (t tier) pickOfTwoChoices(query Query) *Endpoint {
	first := t.firstAllowed(randomIndex(query.Seed, firstChoiceStream, len(t)), query.Exclude)
	second := t.firstAllowed(randomIndex(query.Seed, secondChoiceStream, len(t)), query.Exclude)
	if first == nil || second == nil {
		return nil
	}
	if second.lessLoaded(first, query.Now) {
		return second
	}
	return first
}

// firstAllowed returns the first endpoint at or after the position, wrapping around, that is not excluded, or nil.
func (t tier) firstAllowed(position int, exclude map[core.HostID]bool) *Endpoint {
	for i := range t {
		endpoint := t[(position+i)%len(t)]
		if len(exclude) == 0 || !exclude[endpoint.Host.ID] {
			return endpoint
		}
	}
	return nil
}

// firstWithCapacity returns an endpoint with capacity that is not excluded, or nil. It searches from a random
// position, so that entries that see the same nearly full tier do not all choose the same endpoint.
func (t tier) firstWithCapacity(query Query) *Endpoint {
	position := randomIndex(query.Seed, searchStream, len(t))
	for i := range t {
		endpoint := t[(position+i)%len(t)]
		if endpoint.hasCapacity(query.Now) && !query.Exclude[endpoint.Host.ID] {
			return endpoint
		}
	}
	return nil
}
