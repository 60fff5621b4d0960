package placement

import (
	"slices"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

const (
	// sampleSize is how many random engines are compared. Reports are older than the prompts that they count, so that gateways
	// which compare more of them choose the same few engines.
	sampleSize = 2
	// fullScore is the score above which an engine is taken to be full. It is above 1, since an engine that reported all slots in
	// use has a free one soon, and asking it in vain costs only a round trip.
	fullScore = 1.2
)

// pickAmongMany chooses among engines at which many gateways choose by the same old reports: random engines of the own region
// that have room, then random ones of other regions that have room beside the penalty, then the lowest score among both. Their
// sidecars know the present state and refuse what they would serve late. Where the region has less room than its reports
// show, they refuse: the request is then offered to the lowest score of both regions' samples. It returns nil if there are no
// engines.
func (p *Placer) pickAmongMany(engines []*catalog.Endpoint, query Query) *catalog.Endpoint {
	var local, remote []*catalog.Endpoint
	for _, engine := range engines {
		if engine.Region == query.LocalRegion {
			local = append(local, engine)
		} else {
			remote = append(remote, engine)
		}
	}
	local, remote = p.sample(local), p.sample(remote)
	if len(query.Exclude) == 0 {
		if chosen := p.firstWithRoom(local, query); chosen != nil {
			return chosen
		}
		if chosen := p.firstWithRoom(remote, query); chosen != nil {
			return chosen
		}
	}
	return p.lowestScore(append(local, remote...), query)
}

// firstWithRoom returns the first of the engines that is not expected to be full, or nil. Their speeds are not compared: they
// change faster than reports arrive, so that gateways would choose the same engine for a speed that it no longer has.
func (p *Placer) firstWithRoom(engines []*catalog.Endpoint, query Query) *catalog.Endpoint {
	for _, engine := range engines {
		if p.score(engine, query) <= fullScore {
			return engine
		}
	}
	return nil
}

// sample returns distinct random endpoints, at most sampleSize.
func (p *Placer) sample(endpoints []*catalog.Endpoint) []*catalog.Endpoint {
	size := min(sampleSize, len(endpoints))
	sampled := slices.Clone(endpoints)
	for i := range size {
		j := i + p.randIntN(len(sampled)-i)
		sampled[i], sampled[j] = sampled[j], sampled[i]
	}
	return sampled[:size]
}
