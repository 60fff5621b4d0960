// Command lovage-sidecar runs beside each model engine of a platform that lists its endpoints in a service registry: it
// admits requests to the engine and keeps it on the wanted weights.
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
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/sidecar"
	"github.com/lovageglade/lovageglade/internal/telemetry"
	"github.com/lovageglade/lovageglade/platform"
)

type commandLine struct {
	Settings string `required:"" env:"LOVAGEGLADE_NODE_FILE" help:"JSON file with the settings of this host." placeholder:"FILE"`
	Check    bool   `help:"Check the settings, print what is wrong, and exit."`
}

// pace reads the operators' table often enough to hear of a version well within the time for bringing it, also after a
// connection went silent. The other sidecars are read anew when weights have to be brought.
var pace = follow.Pace{OperatorWait: 2 * time.Second, EndpointsInterval: 10 * time.Second}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Name("lovage-sidecar"), kong.Description("Admits requests to the local model engine and keeps it on the wanted weights."))
	config, err := settings.LoadSidecar(line.Settings)
	exitOn(err)
	if line.Check {
		fmt.Println("the settings are sound")
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger := telemetry.NewBoundedLogger(config.LogLevel, config.Host)
	go telemetry.OnHangup(ctx, logger, func() error {
		fresh, err := settings.LoadSidecar(line.Settings)
		if err == nil {
			logger.SetLevel(telemetry.LevelOf(fresh.LogLevel))
		}
		return err
	})
	go telemetry.ServeMetricsAt(ctx, logger, config.Address, config.MetricsPort)
	peers := rpc.NewClient()
	defer peers.Close()
	delegates := follow.Delegates{Region: config.Region, Addresses: config.Delegates, Peers: peers, Bare: true}
	follower := follow.New(platform.NewStore(config.StoreAddress, config.Regions, logger), pace, delegates, logger)
	engine := platform.NewEngine(config.EngineAddress)
	exitOn(sidecar.New(config, platform.Headers{}, follower, engine, platform.NewOrigin(), logger).Run(ctx))
}

const exitFailed = 1

func exitOn(err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "lovage-sidecar: %s\n", fault.Explain(err))
		os.Exit(exitFailed)
	}
}
