package routing

import (
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// inService returns the record of the endpoint's agent and true if the endpoint accepts new work: the agent has a
// record and is ready, the host is not leaving, and the failure domain is not out of service.
func inService(view *node.View, endpoint config.Endpoint) (wire.Record, bool) {
	record, ok := view.Records[endpoint.Host]
	if !ok || record.Phase != wire.PhaseReady {
		return wire.Record{}, false
	}
	if view.Snapshot.IsDomainOut(endpoint.FailureDomain) || view.Hosts[endpoint.Host].State == core.HostLeaving {
		return wire.Record{}, false
	}
	return record, true
}

// AcceptedVersions returns the versions that may answer requests for a model service: every configured version of the
// model that the service's rule selects. During a rollout, endpoints that still serve another version of the model
// keep answering. Operators withdraw a version by removing it from the configuration.
func AcceptedVersions(snapshot *config.Snapshot, service core.Service) []core.VersionID {
	model := modelOf(snapshot, service)
	var accepted []core.VersionID
	for i := range snapshot.Set.Versions {
		if snapshot.Set.Versions[i].Model == model {
			accepted = append(accepted, snapshot.Set.Versions[i].Manifest)
		}
	}
	return accepted
}

// modelOf returns the model of the version that the service's rule selects, or "" if there is none.
func modelOf(snapshot *config.Snapshot, service core.Service) core.Model {
	desired := snapshot.VersionForService(service)
	for i := range snapshot.Set.Versions {
		if snapshot.Set.Versions[i].Manifest == desired {
			return snapshot.Set.Versions[i].Model
		}
	}
	return ""
}

// servedVersion returns the accepted version that the record reports as serving, or "" if there is none.
func servedVersion(record wire.Record, accepted map[core.VersionID]bool) core.VersionID {
	for _, status := range record.Versions {
		if status.Phase == wire.VersionServing && accepted[status.Version] {
			return status.Version
		}
	}
	return ""
}
