package operate

import (
	"context"
	"slices"

	"github.com/sourcegraph/conc/iter"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// entriesNotRouting returns the entries that do not yet route requests to every host in service.
func (o *Operator) entriesNotRouting(ctx context.Context, snapshot *config.Snapshot, nodes []NodeStatus) []string {
	inService := hostsInService(snapshot, nodes)
	entries := slices.DeleteFunc(slices.Clone(nodes), func(node NodeStatus) bool { return node.Host.Role != core.RoleEntry })
	lagging := iter.Map(entries, func(node *NodeStatus) bool { return !o.routesTo(ctx, node.Host, inService) })
	var names []string
	for i, node := range entries {
		if lagging[i] {
			names = append(names, string(node.Host.ID))
		}
	}
	return names
}

// hostsInService returns the hosts that are ready, whose failure domain is in service, and that have a version to run if
// their service needs one.
func hostsInService(snapshot *config.Snapshot, nodes []NodeStatus) []core.HostID {
	var hosts []core.HostID
	for _, node := range nodes {
		service := snapshot.ServiceForHost(node.Host.ID)
		if service == nil || node.Err != nil || node.Record.Phase != wire.PhaseReady || snapshot.IsDomainOut(node.Host.FailureDomain) {
			continue
		}
		if service.Kind == config.KindModel && snapshot.VersionForHost(node.Host.ID) == "" {
			continue
		}
		hosts = append(hosts, node.Host.ID)
	}
	return hosts
}

func (o *Operator) routesTo(ctx context.Context, entry core.Host, hosts []core.HostID) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var routable wire.Routable
	if err := o.Peers.Call(ctx, entry.ControlAddress, wire.MethodRoutable, struct{}{}, &routable); err != nil {
		return false
	}
	for _, host := range hosts {
		if _, found := slices.BinarySearch(routable.Hosts, host); !found {
			return false
		}
	}
	return true
}
