// Command lovage-entry runs on each entry host behind the platform's load balancer and routes callers' requests to
// endpoints.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/lovageglade/lovageglade/internal/daemon"
	"github.com/lovageglade/lovageglade/internal/entry"
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
	kong.Parse(&args, kong.Name("lovage-entry"), kong.Description("Takes callers' requests, picks an endpoint for each and passes the whole answer on."))
	config, err := settings.LoadEntry(args.Settings)
	exitOnError(err)
	if args.Check {
		fmt.Println("the settings are sound")
		return
	}
	daemon.LimitMemory(config.Resources)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	exitOnError(entry.New(config).Run(ctx))
}

const exitFailure = 1

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "lovage-entry: %s\n", fault.Explain(err))
		os.Exit(exitFailure)
	}
}
