// Package routing chooses the endpoint of an attempt. It is made of small pieces, each of which takes one decision:
// filters that leave candidates out, scores that compare them, and the pick itself.
package routing

import (
	"math/rand/v2"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Candidate is an endpoint that may run an attempt.
type Candidate struct {
	Host        core.Host
	Incarnation core.Incarnation
	InFlight    int       // attempts of this entry that are under way there
	Reported    wire.Load // as the endpoint last said
}

// Query is what the pick depends on besides the candidates.
type Query struct {
	Local   core.FailureDomain   // the entry's own failure domain
	Exclude map[core.HostID]bool // endpoints that this request was refused by
	Random  *rand.Rand
}

// Candidates lists the endpoints of the service that are in service: their failure domain is not out, their agent is
// ready, and for a model their engine serves the version.
func Candidates(view *node.View, service *config.Service, version core.VersionID) []Candidate {
	var candidates []Candidate
	for _, endpoint := range service.Endpoints {
		record, ok := view.Records[endpoint.Host]
		if !ok || record.Phase != wire.PhaseReady {
			continue
		}
		if view.Snapshot.DomainOut(endpoint.FailureDomain) || view.Hosts[endpoint.Host].State == core.HostLeaving {
			continue
		}
		if service.Kind == config.KindModel && !serves(record, version) {
			continue
		}
		candidates = append(candidates, Candidate{Host: record.Host, Incarnation: record.Incarnation})
	}
	return candidates
}

func serves(record wire.Record, version core.VersionID) bool {
	for _, status := range record.Versions {
		if status.Version == version && status.Phase == wire.VersionServing {
			return true
		}
	}
	return false
}

// Pick chooses one candidate: of the local failure domain while it has any, the less loaded of two drawn at random.
// It returns false when no candidate is left.
func Pick(candidates []Candidate, query Query) (Candidate, bool) {
	left := keep(candidates, func(c Candidate) bool { return !query.Exclude[c.Host.ID] })
	local := keep(left, func(c Candidate) bool { return c.Host.FailureDomain == query.Local })
	if len(local) > 0 {
		left = local
	}
	if len(left) == 0 {
		return Candidate{}, false
	}
	first := left[query.Random.IntN(len(left))]
	second := left[query.Random.IntN(len(left))]
	if load(second) < load(first) {
		return second, true
	}
	return first, true
}

func keep(candidates []Candidate, wanted func(Candidate) bool) []Candidate {
	var kept []Candidate
	for _, candidate := range candidates {
		if wanted(candidate) {
			kept = append(kept, candidate)
		}
	}
	return kept
}

func load(c Candidate) int { return c.InFlight + c.Reported.Running + c.Reported.Queued }
