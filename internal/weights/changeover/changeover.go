// Package changeover decides when a host whose engine serves a version may take it out to load the next one, so that a
// service keeps most of its endpoints while its version changes everywhere at once.
package changeover

import (
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	loadingDivisor = 4 // of a group's hosts, one in so many loads at once, and at least one
	minGroupSize   = 4 // endpoints of a failure domain that make a group of their own
)

// MayLoad tells whether the host may load the version now. Hosts of a group that are loading go first, then those that
// hold every chunk, in the order of the configuration. A host that no peer has heard of for a while, or whose load
// failed, holds up nobody.
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

// groupOf lists the hosts that change over together: those that run the version for the host's service in its failure
// domain, or everywhere when they are few.
func rolloutGroup(snapshot *config.Snapshot, self core.HostID) []core.HostID {
	service := snapshot.ServiceAt(self)
	if service == nil {
		return nil
	}
	endpoints := snapshot.Placed(service.Name)
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
