package placement

import "github.com/lovageglade/lovageglade/internal/catalog"

// crossRegionPenalty is added to the score of an endpoint in another region, as a fraction of its slots. The link
// between regions is narrow and also carries weights.
const crossRegionPenalty = 0.15

// ScoreParts are the parts of an endpoint's score. Lower is better.
type ScoreParts struct {
	Load    float64 // estimated load with one more request, as a fraction of the slots
	Region  float64 // penalty for another region
	Refusal float64 // penalty for a recent refusal
}

func (s ScoreParts) sum() float64 { return s.Load + s.Region + s.Refusal }

// score returns the endpoint's estimated load with one more request, as a fraction of its slots, plus penalties. Lower is
// better.
func (p *Placer) score(endpoint *catalog.Endpoint, query Query) float64 {
	return p.scoreParts(endpoint, query).sum()
}

func (p *Placer) scoreParts(endpoint *catalog.Endpoint, query Query) ScoreParts {
	slots := int64(max(1, endpoint.Slots))
	load := p.Meter(endpoint.ID).Load(query.Now, slots)
	parts := ScoreParts{Load: float64(load+1) / float64(slots), Refusal: p.refusals.penalty(endpoint.ID, query.Now)}
	if endpoint.Region != query.LocalRegion {
		parts.Region = crossRegionPenalty
	}
	return parts
}
