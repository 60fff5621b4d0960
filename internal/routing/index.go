package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
)

// Candidate identifies an endpoint that may run an attempt, and the incarnation of its agent that the attempt is for.
type Candidate struct {
	Host        core.Host
	Incarnation core.Incarnation
	Version     core.VersionID // the version that the endpoint serves; "" unless the service is of kind model
}

// Endpoint is a candidate in an index, with the data that a pick compares. It is immutable except for the load in its
// meter.
type Endpoint struct {
	Candidate
	Meter     *LoadMeter
	coldLimit int64
	hash      uint64
}

// Service holds the endpoints of one service that are in service, grouped by tier.
type Service struct {
	tiers [tierCount]tier
}

// Index holds the endpoints of each service in one view. It is immutable except for the loads in the endpoints'
// meters.
type Index struct {
	View     *node.View
	services map[core.Service]*Service
}

// BuildIndex returns the index of the view. Tiers are relative to the location of the entry.
func BuildIndex(view *node.View, entry Locality, meters *LoadMeters) *Index {
	index := &Index{View: view, services: make(map[core.Service]*Service)}
	if view.Snapshot == nil {
		return index
	}
	for i := range view.Snapshot.Set.Services {
		service := &view.Snapshot.Set.Services[i]
		index.services[service.Name] = buildService(view, service, entry, meters)
	}
	return index
}

// Service returns the endpoints of the service, without any if the service is unknown. It never returns nil.
func (i *Index) Service(name core.Service) *Service {
	service := i.services[name]
	if service == nil {
		return &Service{}
	}
	return service
}

// Hosts returns the hosts of all endpoints that may be picked, sorted by ID.
func (i *Index) Hosts() []core.HostID {
	hosts := []core.HostID{}
	for _, service := range i.services {
		for _, tier := range service.tiers {
			for _, endpoint := range tier {
				hosts = append(hosts, endpoint.Host.ID)
			}
		}
	}
	slices.Sort(hosts)
	return hosts
}

// buildService returns the endpoints of the service that accept new work. Endpoints of a model service must also
// serve an accepted version.
func buildService(view *node.View, service *config.Service, entry Locality, meters *LoadMeters) *Service {
	result := &Service{}
	desired := view.Snapshot.VersionForService(service.Name)
	accepted := acceptedVersionSet(view.Snapshot, service)
	for _, endpoint := range service.Endpoints {
		record, ok := inService(view, endpoint)
		if !ok {
			continue
		}
		candidate := Candidate{Host: record.Host, Incarnation: record.Incarnation}
		if service.Kind == config.KindModel {
			candidate.Version = servedVersion(record, accepted)
			if candidate.Version == "" {
				continue
			}
		}
		place := Locality{FailureDomain: endpoint.FailureDomain, Region: view.Snapshot.Region(endpoint.FailureDomain)}
		index := tierOf(entry, place, service.Kind != config.KindModel || candidate.Version == desired)
		result.tiers[index] = append(result.tiers[index], &Endpoint{
			Candidate: candidate,
			Meter:     meters.forIncarnation(record.Host.ID, record.Incarnation),
			coldLimit: int64(max(1, service.Limits.Cold)),
			hash:      xxhash.Sum64String(string(record.Host.ID)),
		})
	}
	return result
}

// acceptedVersionSet returns the accepted versions of the service. It is empty unless the service is of kind model.
func acceptedVersionSet(snapshot *config.Snapshot, service *config.Service) map[core.VersionID]bool {
	accepted := make(map[core.VersionID]bool)
	if service.Kind != config.KindModel {
		return accepted
	}
	for _, version := range AcceptedVersions(snapshot, service.Name) {
		accepted[version] = true
	}
	return accepted
}
