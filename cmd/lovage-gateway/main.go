// Command lovage-gateway runs on each entry host of a platform that lists its endpoints in a service registry: it takes
// callers' requests and passes each on to an endpoint.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/follow"
	"github.com/lovageglade/lovageglade/internal/gateway"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/platform"
)

type commandLine struct {
	Settings string `required:"" env:"LOVAGEGLADE_NODE_FILE" help:"JSON file with the settings of this host." placeholder:"FILE"`
	Check    bool   `help:"Check the settings, print what is wrong, and exit."`
}

// pace reads the store often enough for the platform's bounds: two seconds for a configuration and for an endpoint that
// leaves, five for a key that was taken away.
var pace = follow.Pace{OperatorWait: time.Second, EndpointsInterval: 800 * time.Millisecond}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Name("lovage-gateway"), kong.Description("Takes callers' requests, picks an endpoint for each and passes the answer on."))
	config, err := settings.LoadGateway(line.Settings)
	exitOn(err)
	if line.Check {
		fmt.Println("the settings are sound")
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger := telemetry.NewBoundedLogger(config.LogLevel, config.Host)
	go telemetry.OnHangup(ctx, logger, func() error {
		fresh, err := settings.LoadGateway(line.Settings)
		if err == nil {
			logger.SetLevel(telemetry.LevelOf(fresh.LogLevel))
		}
		return err
	})
	go telemetry.ServeMetricsAt(ctx, logger, config.Address, config.MetricsPort)
	peers := rpc.NewClient()
	defer peers.Close()
	delegates := follow.Delegates{Self: config.ControlAddress, Region: config.Region, Addresses: config.Delegates, Peers: peers}
	follower := follow.New(platform.NewStore(config.StoreAddress, config.Regions, logger), pace, delegates, logger)
	exitOn(gateway.New(config, platform.Headers{}, follower, logger).Run(ctx))
}

const exitFailed = 1

func exitOn(err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "lovage-gateway: %s\n", fault.Explain(err))
		os.Exit(exitFailed)
	}
}
