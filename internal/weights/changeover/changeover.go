// Package changeover limits how many hosts of a service load a new version at the same time. An engine cannot serve
// while it loads, so the limit keeps most endpoints of the service available during a rollout.
package changeover

import (
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	loadingDivisor = 4 // at most 1/loadingDivisor of a group loads at once, but at least one host
	minGroupSize   = 4 // endpoints that a failure domain needs to form a group of its own
)

// MayLoad reports whether the host may load the version now. Hosts of the group that are already loading come first,
// followed by hosts that have verified every chunk, in the order of the configuration. Hosts that are not ready or
// missing from the view, and hosts whose load failed, do not count.
func MayLoad(view *node.View, self core.HostID, version core.VersionID) bool {
	group := rolloutGroup(view.Snapshot, self)
	ahead := 0
	precedesSelf := true
	for _, host := range group {
		if host == self {
			precedesSelf = false
			continue
		}
		switch versionPhase(view, host, version) {
		case wire.VersionLoading:
			ahead++
		case wire.VersionVerified:
			if precedesSelf {
				ahead++
			}
		}
	}
	return ahead < max(1, len(group)/loadingDivisor)
}

// rolloutGroup returns the hosts that share a loading limit: those placed for the host's service in its failure domain,
// or in all failure domains if its own has fewer than minGroupSize. It returns nil if the host has no service.
func rolloutGroup(snapshot *config.Snapshot, self core.HostID) []core.HostID {
	service := snapshot.ServiceForHost(self)
	if service == nil {
		return nil
	}
	endpoints := snapshot.AssignedEndpoints(service.Name)
	selfDomain := failureDomainOf(endpoints, self)
	var allHosts, domainHosts []core.HostID
	for _, endpoint := range endpoints {
		allHosts = append(allHosts, endpoint.Host)
		if endpoint.FailureDomain == selfDomain {
			domainHosts = append(domainHosts, endpoint.Host)
		}
	}
	if len(domainHosts) >= minGroupSize {
		return domainHosts
	}
	return allHosts
}

func failureDomainOf(endpoints []config.Endpoint, self core.HostID) core.FailureDomain {
	for _, endpoint := range endpoints {
		if endpoint.Host == self {
			return endpoint.FailureDomain
		}
	}
	return ""
}

func versionPhase(view *node.View, host core.HostID, version core.VersionID) wire.VersionPhase {
	record, ok := view.Records[host]
	if !ok || record.Phase != wire.PhaseReady {
		return ""
	}
	for _, status := range record.Versions {
		if status.Version == version {
			return status.Phase
		}
	}
	return ""
}
