// Package routing chooses the endpoint of an attempt. It is made of small pieces, each of which takes one decision:
// filters that leave endpoints out, tiers that order the rest by distance, scores that compare two of them, prefix
// affinity, and the pick itself. An index of the endpoints is built when a view changes; a pick reads it without locks
// and without allocations.
package routing

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Query is what a pick depends on besides the index and the loads.
type Query struct {
	Exclude map[core.HostID]bool // endpoints that this request was refused by
	Prefix  uint64               // hash of the prompt's prefix, 0 for none
	Seed    uint64               // source of the pick's random draws
	Now     time.Duration        // on the clock of the load reports
}

// Pick chooses an endpoint: in the nearest tier that has one with room, the affine one of the prefix while its load is
// bounded, else the less loaded of two drawn at random. When no tier has room it chooses in the nearest one, where the
// request waits. It returns nil when no endpoint is left.
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

// pick returns an endpoint with room if the tier has one, else the less loaded of two, or nil.
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

// firstAllowed returns the first endpoint at or after the position that is not excluded, or nil.
func (t tier) firstAllowed(position int, exclude map[core.HostID]bool) *Endpoint {
	for i := range t {
		endpoint := t[(position+i)%len(t)]
		if len(exclude) == 0 || !exclude[endpoint.Host.ID] {
			return endpoint
		}
	}
	return nil
}

// firstWithCapacity searches from a random position, so that entries which find the tier nearly full do not all choose
// the same endpoint.
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
