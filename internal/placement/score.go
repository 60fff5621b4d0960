package placement

import "github.com/lovageglade/lovageglade/internal/catalog"

// crossRegionPenalty is added to the score of an endpoint in another region, as a share of its slots: the link between
// regions is narrow and carries weights as well.
const crossRegionPenalty = 0.15

// score is the endpoint's load with the request, as a share of its slots; the lowest is best.
func (p *Placer) score(endpoint *catalog.Endpoint, query Query) float64 {
	slots := int64(max(1, endpoint.Slots))
	load := p.Load(endpoint.ID).Load(query.Now, slots)
	score := float64(load+1) / float64(slots)
	if endpoint.Region != query.Home {
		score += crossRegionPenalty
	}
	return score
}
