// Command lovage-gateway runs on each entry host of a platform that has a service registry. It accepts callers' requests
// and forwards each to an endpoint from the registry.
package main

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/daemon"
	"github.com/lovageglade/lovageglade/internal/follow"
	"github.com/lovageglade/lovageglade/internal/gateway"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/platform"
)

// readIntervals meet the platform's time limits: a new configuration and the removal of an endpoint must take effect
// within two seconds, the revocation of a key within five.
var readIntervals = follow.Intervals{OperatorWait: time.Second, EndpointsInterval: 800 * time.Millisecond}

// endpointsWait is a fraction of the time within which the removal of an endpoint must take effect.
const endpointsWait = 200 * time.Millisecond

// delegateWait leaves time, within the two seconds in which the removal of an endpoint must take effect, for a delegate's own
// read and for asking another delegate.
const delegateWait = 800 * time.Millisecond

func main() {
	daemon.Main(daemon.Program[settings.Gateway]{
		Name:         "lovage-gateway",
		Description:  "Takes callers' requests, picks an endpoint for each and passes the answer on.",
		Load:         settings.LoadGateway,
		HostSettings: func(config settings.Gateway) settings.Place { return config.Place },
		Run:          run,
	})
}

func run(ctx context.Context, config settings.Gateway, peers *rpc.Client, logger *log.Logger) error {
	delegates := follow.Delegates{Self: config.ControlAddress, Region: config.Region, Addresses: config.Delegates, Peers: peers, Wait: delegateWait, EndpointsWait: endpointsWait}
	services := platform.NewServices(settings.Platform{TablesAddress: config.StoreAddress})
	source := follow.NewRolloutRecorder(platform.NewStore(config.StoreAddress, config.Regions, logger), services, logger)
	follower := follow.New(source, readIntervals, delegates, logger)
	source.SetFollower(follower)
	g := gateway.New(config, platform.Headers{}, follower, logger)
	g.ArchiveCrashes(services)
	g.ElectGranter(services)
	return g.Run(ctx)
}
