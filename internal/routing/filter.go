package routing

import (
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// inService returns the record of the endpoint's agent if the endpoint takes new work: its failure domain is not out,
// its host is not leaving, and its agent answers and is ready.
func inService(view *node.View, endpoint config.Endpoint) (wire.Record, bool) {
	record, ok := view.Records[endpoint.Host]
	if !ok || record.Phase != wire.PhaseReady {
		return wire.Record{}, false
	}
	if view.Snapshot.DomainOut(endpoint.FailureDomain) || view.Hosts[endpoint.Host].State == core.HostLeaving {
		return wire.Record{}, false
	}
	return record, true
}

// AcceptedVersions returns the versions that may answer for a model service: all versions of the configuration of the
// model that the service's rule names. While a version is brought onto the endpoints, those that still serve another
// one go on answering; operators withdraw a version by removing it from the configuration.
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

func modelOf(snapshot *config.Snapshot, service core.Service) core.Model {
	desired := snapshot.VersionOf(service)
	for i := range snapshot.Set.Versions {
		if snapshot.Set.Versions[i].Manifest == desired {
			return snapshot.Set.Versions[i].Model
		}
	}
	return ""
}

// servedVersion returns the version that the record's engine serves, or "" when it serves none that is accepted.
func servedVersion(record wire.Record, accepted map[core.VersionID]bool) core.VersionID {
	for _, status := range record.Versions {
		if status.Phase == wire.VersionServing && accepted[status.Version] {
			return status.Version
		}
	}
	return ""
}
