package agent

import (
	"context"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// publishVersions puts the statuses of the versions into this node's record. While an old version serves and a new
// one is being fetched, the record contains both.
func (l *loader) publishVersions(ctx context.Context, versions []wire.VersionStatus) {
	loaded := l.loaded.Load()
	if loaded != nil && l.advertised.Load() && (len(versions) == 0 || versions[0].Version != loaded.version) {
		total := len(l.manifests[loaded.version].Chunks)
		versions = append(versions, wire.VersionStatus{Version: loaded.version, Phase: wire.VersionServing, Have: total, Total: total})
	}
	l.agent.node.Loop.Post(ctx, node.ModelVersionsChanged{Versions: versions})
}

// peerSet determines the hosts to which the configuration assigns the same version as to this host.
type peerSet struct {
	snapshot    *config.Snapshot
	sameVersion map[core.HostID]bool
	regionHosts int // number of hosts in sameVersion that are in this region, including this host
}

// peers returns the hosts to which the configuration assigns the same version as to self, whose agents run and are
// not draining. Agents of plain services and of other models take no part in the distribution of a version.
func (s *peerSet) peers(view *node.View, self core.Host) []core.Host {
	if view.Snapshot == nil {
		return nil
	}
	if view.Snapshot != s.snapshot {
		s.snapshot = view.Snapshot
		s.sameVersion, s.regionHosts = hostsOf(view.Snapshot, view.Snapshot.VersionForHost(self.ID), self.Region)
	}
	var hosts []core.Host
	for id, record := range view.Records {
		if s.sameVersion[id] && record.Phase != wire.PhaseDraining {
			hosts = append(hosts, record.Host)
		}
	}
	return hosts
}

// hostsOf returns the hosts to which the configuration assigns the version, and how many of them are in the region.
func hostsOf(snapshot *config.Snapshot, version core.VersionID, region core.Region) (hosts map[core.HostID]bool, inRegion int) {
	hosts = make(map[core.HostID]bool)
	for _, service := range snapshot.Set.Services {
		if version == "" || snapshot.VersionForService(service.Name) != version {
			continue
		}
		for _, endpoint := range snapshot.AssignedEndpoints(service.Name) {
			hosts[endpoint.Host] = true
			if snapshot.Region(endpoint.FailureDomain) == region {
				inRegion++
			}
		}
	}
	return hosts, inRegion
}
