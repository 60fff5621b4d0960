package agent

import (
	"context"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// spread puts the states of the versions into this node's record. While an old version still serves beside a new one
// that is being fetched, both are in it.
func (l *loader) spread(ctx context.Context, versions []wire.VersionStatus) {
	held := l.held.Load()
	if held != nil && l.advertised.Load() && (len(versions) == 0 || versions[0].Version != held.version) {
		total := len(l.manifests[held.version].Chunks)
		versions = append(versions, wire.VersionStatus{Version: held.version, Phase: wire.VersionServing, Have: total, Total: total})
	}
	l.agent.node.Loop.Post(ctx, node.VersionsChanged{Versions: versions})
}

// roster knows which hosts are to hold the same version as this one.
type roster struct {
	snapshot *config.Snapshot
	wanting  map[core.HostID]bool
	near     int // hosts of this region among them, with this one
}

// peers returns the hosts that the configuration gives the same version as self, whose agents run and are not shutting
// down. Agents of plain services and of other models take no part in a version's distribution.
func (r *roster) peers(view *node.View, self core.Host) []core.Host {
	if view.Snapshot == nil {
		return nil
	}
	if view.Snapshot != r.snapshot {
		r.snapshot = view.Snapshot
		r.wanting, r.near = hostsOf(view.Snapshot, view.Snapshot.VersionForHost(self.ID), self.Region)
	}
	var hosts []core.Host
	for id, record := range view.Records {
		if r.wanting[id] && record.Phase != wire.PhaseDraining {
			hosts = append(hosts, record.Host)
		}
	}
	return hosts
}

// hostsOf returns the hosts that the configuration gives the version, and how many of them are in the region.
func hostsOf(snapshot *config.Snapshot, version core.VersionID, region core.Region) (hosts map[core.HostID]bool, near int) {
	hosts = make(map[core.HostID]bool)
	for _, service := range snapshot.Set.Services {
		if version == "" || snapshot.VersionForService(service.Name) != version {
			continue
		}
		for _, endpoint := range snapshot.AssignedEndpoints(service.Name) {
			hosts[endpoint.Host] = true
			if snapshot.Region(endpoint.FailureDomain) == region {
				near++
			}
		}
	}
	return hosts, near
}
