package routing

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// naiveCandidate is an endpoint as the naive picker sees it.
type naiveCandidate struct {
	id    core.HostID
	tier  int
	load  float64
	limit float64
}

// naivePick is a simple reference implementation of Service.Pick. For each request it lists the candidates of the
// view, sorts them by rendezvous weight and filters by copying. It returns "" when no endpoint is left.
func naivePick(view *node.View, meters *LoadMeters, query Query) core.HostID {
	var fallback core.HostID
	for number := range int(tierCount) {
		all := filterNaive(naiveCandidates(view, meters, query.Now), func(c naiveCandidate) bool { return c.tier == number })
		chosen, ok := naiveTierPick(all, query)
		if ok && chosen.load < chosen.limit {
			return chosen.id
		}
		if ok && fallback == "" {
			fallback = chosen.id
		}
	}
	return fallback
}

func naiveTierPick(all []naiveCandidate, query Query) (naiveCandidate, bool) {
	allowed := filterNaive(all, func(c naiveCandidate) bool { return !query.Exclude[c.id] })
	if len(allowed) == 0 {
		return naiveCandidate{}, false
	}
	if query.Prefix != 0 {
		for _, c := range naiveAffinityChoices(allowed, query.Prefix) {
			if naiveWithinLoadBound(c, all) {
				return c, true
			}
		}
	}
	first := naiveAllowedFrom(all, query, firstChoiceStream)[0]
	second := naiveAllowedFrom(all, query, secondChoiceStream)[0]
	chosen := first
	if naiveLess(second, first) {
		chosen = second
	}
	if chosen.load < chosen.limit {
		return chosen, true
	}
	for _, c := range naiveAllowedFrom(all, query, searchStream) {
		if c.load < c.limit {
			return c, true
		}
	}
	return chosen, true
}

func naiveLess(a, b naiveCandidate) bool { return (a.load+1)/a.limit < (b.load+1)/b.limit }

// naiveAllowedFrom returns the candidates that are not excluded, rotated to start at a random position.
func naiveAllowedFrom(all []naiveCandidate, query Query, stream uint64) []naiveCandidate {
	position := randomIndex(query.Seed, stream, len(all))
	rotated := append(append([]naiveCandidate(nil), all[position:]...), all[:position]...)
	return filterNaive(rotated, func(c naiveCandidate) bool { return !query.Exclude[c.id] })
}

// naiveAffinityChoices returns the two candidates with the highest rendezvous weights, the less loaded one first.
func naiveAffinityChoices(allowed []naiveCandidate, prefix uint64) []naiveCandidate {
	sorted := append([]naiveCandidate(nil), allowed...)
	weight := func(c naiveCandidate) uint64 { return mix(prefix ^ xxhash.Sum64String(string(c.id))) }
	sort.SliceStable(sorted, func(i, j int) bool { return weight(sorted[i]) > weight(sorted[j]) })
	if len(sorted) > 1 && naiveLess(sorted[1], sorted[0]) {
		sorted[0], sorted[1] = sorted[1], sorted[0]
	}
	return sorted[:min(2, len(sorted))]
}

func naiveWithinLoadBound(c naiveCandidate, all []naiveCandidate) bool {
	load, limit := 0.0, 0.0
	for _, other := range all {
		load += other.load
		limit += other.limit
	}
	share := (load + 1) * c.limit / limit
	return c.load < c.limit && (c.load == 0 || c.load+1 <= 1.25*share)
}

func naiveCandidates(view *node.View, meters *LoadMeters, now time.Duration) []naiveCandidate {
	service := view.Snapshot.Service("models")
	var candidates []naiveCandidate
	for _, endpoint := range service.Endpoints {
		record, ok := view.Records[endpoint.Host]
		if !ok || record.Phase != wire.PhaseReady || view.Hosts[endpoint.Host].State == core.HostLeaving || naiveDomainOut(view, endpoint.FailureDomain) {
			continue
		}
		version := naiveVersion(record)
		if version == "" {
			continue
		}
		c := naiveCandidate{id: endpoint.Host, tier: naiveTier(view, endpoint, version)}
		cold := int64(service.Limits.Cold)
		c.load, c.limit = float64(meters.ForHost(c.id).Load(now, cold)), float64(meters.ForHost(c.id).Limit(now, cold))
		candidates = append(candidates, c)
	}
	return candidates
}

func naiveDomainOut(view *node.View, name core.FailureDomain) bool {
	for _, domain := range view.Snapshot.Set.FailureDomains {
		if domain.Name == name {
			return domain.Out
		}
	}
	return true
}

func naiveVersion(record wire.Record) core.VersionID {
	for _, status := range record.Versions {
		if status.Phase == wire.VersionServing && (status.Version == desiredVersion || status.Version == olderVersion) {
			return status.Version
		}
	}
	return ""
}

func naiveTier(view *node.View, endpoint config.Endpoint, version core.VersionID) int {
	distance := 2
	if view.Snapshot.Region(endpoint.FailureDomain) == entryLocality.Region {
		distance = 1
	}
	if endpoint.FailureDomain == entryLocality.FailureDomain {
		distance = 0
	}
	if version == desiredVersion {
		return 2 * distance
	}
	return 2*distance + 1
}

func filterNaive(candidates []naiveCandidate, wanted func(naiveCandidate) bool) []naiveCandidate {
	var kept []naiveCandidate
	for _, candidate := range candidates {
		if wanted(candidate) {
			kept = append(kept, candidate)
		}
	}
	return kept
}
