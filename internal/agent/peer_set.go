package agent

import (
	"context"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// publishVersions puts the states of the versions into this node's record. While an old version still serves beside a new one
// that is being fetched, both are in it.
func (l *loader) publishVersions(ctx context.Context, versions []wire.VersionStatus) {
	loaded := l.loaded.Load()
	if loaded != nil && l.advertised.Load() && (len(versions) == 0 || versions[0].Version != loaded.version) {
		total := len(l.manifests[loaded.version].Chunks)
		versions = append(versions, wire.VersionStatus{Version: loaded.version, Phase: wire.VersionServing, Have: total, Total: total})
	}
	l.agent.node.Loop.Post(ctx, node.VersionsChanged{Versions: versions})
}

// peerSet knows which hosts are to hold the same version as this one.
type peerSet struct {
	snapshot    *config.Snapshot
	sameVersion map[core.HostID]bool
	regionHosts int // hosts of this region among them, with this one
}

// peers returns the hosts that the configuration gives the same version as self, whose agents run and are not shutting
// down. Agents of plain services and of other models take no part in a version's distribution.
func (s *peerSet) peers(view *node.View, self core.Host) []core.Host {
	if view.Snapshot == nil {
		return nil
	}
	if view.Snapshot != s.snapshot {
		s.snapshot = view.Snapshot
		s.sameVersion, s.regionHosts = hostsOf(view.Snapshot, view.Snapshot.VersionAt(self.ID), self.Region)
	}
	var hosts []core.Host
	for id, record := range view.Records {
		if s.sameVersion[id] && record.Phase != wire.PhaseDraining {
			hosts = append(hosts, record.Host)
		}
	}
	return hosts
}

// hostsOf returns the hosts that the configuration gives the version, and how many of them are in the region.
func hostsOf(snapshot *config.Snapshot, version core.VersionID, region core.Region) (hosts map[core.HostID]bool, near int) {
	hosts = make(map[core.HostID]bool)
	for _, service := range snapshot.Set.Services {
		if version == "" || snapshot.VersionOf(service.Name) != version {
			continue
		}
		for _, endpoint := range snapshot.Placed(service.Name) {
			hosts[endpoint.Host] = true
			if snapshot.Region(endpoint.FailureDomain) == region {
				near++
			}
		}
	}
	return hosts, near
}
