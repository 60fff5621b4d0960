package placement

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// Explanation tells what Pick makes of one endpoint.
type Explanation struct {
	Endpoint  *catalog.Endpoint
	LeftOut   string // why Pick does not consider it; "" for one that it may pick
	Score     ScoreParts
	Load      int64         // estimated requests at the endpoint
	ReportAge time.Duration // age of the report behind the estimate; negative without one
}

// Explain returns what Pick makes of each endpoint for the query. It changes nothing that a pick rests on.
func (p *Placer) Explain(endpoints []*catalog.Endpoint, query Query) []Explanation {
	considered := make(map[*catalog.Endpoint]bool)
	for _, endpoint := range p.considered(endpoints, query) {
		considered[endpoint] = true
	}
	explanations := make([]Explanation, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if !considered[endpoint] {
			explanations = append(explanations, Explanation{Endpoint: endpoint, LeftOut: p.reasonLeftOut(endpoint, query)})
			continue
		}
		meter := p.Meter(endpoint.ID)
		age, reported := meter.ReportAge(query.Now)
		if !reported {
			age = -1
		}
		explanations = append(explanations, Explanation{
			Endpoint:  endpoint,
			Score:     p.scoreParts(endpoint, query),
			Load:      meter.Load(query.Now, int64(max(1, endpoint.Slots))),
			ReportAge: age,
		})
	}
	return explanations
}

// reasonLeftOut returns why the endpoint is not considered.
func (p *Placer) reasonLeftOut(endpoint *catalog.Endpoint, query Query) string {
	switch {
	case query.Exclude[endpoint.ID]:
		return "it was tried"
	case !query.Regions.Allows(endpoint.Region):
		return "its region may not see the request"
	case p.withdrawals.excludes(endpoint, query.Now):
		if until, known := p.withdrawals.earliestReturn([]*catalog.Endpoint{endpoint}, query.Now); known {
			return "it wants no requests for another " + (until - query.Now).Round(time.Millisecond).String()
		}
		return "it is leaving"
	case !ShowsVersion(endpoint, query):
		return "its entry does not show the version"
	default:
		return "it failed recently"
	}
}
