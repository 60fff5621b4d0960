package placement

import "github.com/lovageglade/lovageglade/internal/catalog"

// crossRegionPenalty is added to the score of an endpoint in another region, as a fraction of its slots. The link
// between regions is narrow and also carries weights.
const crossRegionPenalty = 0.15

// score returns the endpoint's estimated load with one more request, as a fraction of its slots, plus the penalty for
// another region. Lower is better.
func (p *Placer) score(endpoint *catalog.Endpoint, query Query) float64 {
	slots := int64(max(1, endpoint.Slots))
	load := p.Meter(endpoint.ID).Load(query.Now, slots)
	score := float64(load+1) / float64(slots)
	if endpoint.Region != query.LocalRegion {
		score += crossRegionPenalty
	}
	return score + p.refusals.penalty(endpoint.ID, query.Now)
}
