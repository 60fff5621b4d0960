package operate

import (
	"context"

	"github.com/sourcegraph/conc/iter"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// listHosts returns the platform's host list. While the platform is unavailable, it returns those hosts named by --hosts
// that respond.
func (o *Operator) listHosts(ctx context.Context) ([]core.Host, error) {
	hosts, err := o.Platform.ListHosts(ctx)
	if err == nil || len(o.Hosts) == 0 {
		return hosts, err
	}
	_ = o.printf("the platform is away: only the hosts named by --hosts are asked\n")
	hosts = nil
	for _, response := range callNamedHosts[wire.Record](ctx, o, wire.MethodStatus) {
		if response.err == nil {
			hosts = append(hosts, response.value.Host)
		}
	}
	if len(hosts) == 0 {
		return nil, fault.Wrap(err, fault.PlatformUnavailable, "neither the platform nor any host named by --hosts answers", "name other hosts, or check the network from here")
	}
	return hosts, nil
}

// latestSnapshot returns the current snapshot. While the platform is unavailable, it returns the newest snapshot that the
// hosts named by --hosts hold, which may be outdated and must not be used as the base of a publication.
func (o *Operator) latestSnapshot(ctx context.Context) (*config.Snapshot, error) {
	newest, err := o.currentSnapshot(ctx)
	if err == nil || len(o.Hosts) == 0 {
		return newest, err
	}
	for _, response := range callNamedHosts[wire.Snapshot](ctx, o, wire.MethodSnapshot) {
		if response.err != nil || response.value.Generation == 0 || (newest != nil && response.value.Generation <= newest.Generation) {
			continue
		}
		snapshot, decodeErr := config.Decode(response.value.Generation, response.value.Digest, response.value.Raw)
		if decodeErr == nil {
			newest = snapshot
		}
	}
	if newest == nil {
		return nil, err
	}
	return newest, nil
}

// hostResponse is the response of one host to a call.
type hostResponse[Value any] struct {
	value Value
	err   error
}

// callNamedHosts calls a method without parameters on every host named by --hosts.
func callNamedHosts[Value any](ctx context.Context, o *Operator, method string) []hostResponse[Value] {
	mapper := iter.Mapper[string, hostResponse[Value]]{MaxGoroutines: maxConcurrentCalls}
	return mapper.Map(o.Hosts, func(address *string) hostResponse[Value] {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		var response hostResponse[Value]
		response.err = o.Peers.Call(ctx, *address, method, nil, &response.value)
		return response
	})
}
