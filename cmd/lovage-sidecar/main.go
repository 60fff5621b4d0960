// Command lovage-sidecar runs next to each model engine of a platform that has a service registry. It admits requests to
// the engine and loads the configured version of the weights.
package main

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/daemon"
	"github.com/lovageglade/lovageglade/internal/follow"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/sidecar"
	"github.com/lovageglade/lovageglade/platform"
)

// readIntervals poll the operators' table often enough that a new version is noticed well within the time allowed for a
// rollout, even if a connection stops responding. The list of other sidecars is also read whenever weights have to be
// fetched.
var readIntervals = follow.Intervals{OperatorWait: 2 * time.Second, EndpointsInterval: 10 * time.Second}

func main() {
	daemon.Main(daemon.Program[settings.Sidecar]{
		Name:         "lovage-sidecar",
		Description:  "Admits requests to the local model engine and keeps it on the wanted weights.",
		Load:         settings.LoadSidecar,
		HostSettings: func(config settings.Sidecar) settings.Place { return config.Place },
		Run:          run,
	})
}

func run(ctx context.Context, config settings.Sidecar, peers *rpc.Client, logger *log.Logger) error {
	delegates := follow.Delegates{Region: config.Region, Addresses: config.Delegates, Peers: peers, OmitRoutes: true, EndpointsWait: readIntervals.OperatorWait, UrgentAddress: config.EngineAddress}
	services := platform.NewServices(settings.Platform{TablesAddress: config.StoreAddress})
	source := follow.NewRolloutRecorder(platform.NewStore(config.StoreAddress, config.Regions, logger), services, logger)
	follower := follow.New(source, readIntervals, delegates, logger)
	source.SetFollower(follower)
	engine := platform.NewEngine(config.EngineAddress)
	s := sidecar.New(config, platform.Headers{}, follower, engine, platform.NewOrigin(), logger)
	s.FindGranter(services)
	return s.Run(ctx)
}
