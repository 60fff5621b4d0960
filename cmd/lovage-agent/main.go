// Command lovage-agent runs on each endpoint host and proxies all requests to the local back end.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/lovageglade/lovageglade/internal/agent"
	"github.com/lovageglade/lovageglade/internal/daemon"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/settings"
)

type commandLine struct {
	Settings string `required:"" help:"JSON file with the settings of this host." placeholder:"FILE"`
	Check    bool   `help:"Check the settings, print what is wrong, and exit."`
}

func main() {
	signal.Ignore(syscall.SIGHUP) // the settings are read at the start only
	var args commandLine
	kong.Parse(&args, kong.Name("lovage-agent"), kong.Description("Admits requests to the local back end, keeps their outcomes, fetches weights and gives the engine its orders."))
	config, err := settings.LoadAgent(args.Settings)
	exitOnError(err)
	if args.Check {
		fmt.Println("the settings are sound")
		return
	}
	daemon.LimitMemory(config.Resources)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	exitOnError(agent.New(config).Run(ctx))
}

const exitFailure = 1

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "lovage-agent: %s\n", fault.Explain(err))
		os.Exit(exitFailure)
	}
}
