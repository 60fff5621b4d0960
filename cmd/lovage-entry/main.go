// Command lovage-entry runs on each entry host, behind the platform's balancer, and takes callers' requests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/lovageglade/lovageglade/internal/entry"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/settings"
)

type commandLine struct {
	Settings string `required:"" help:"JSON file with the settings of this host." placeholder:"FILE"`
	Check    bool   `help:"Check the settings, print what is wrong, and exit."`
}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Name("lovage-entry"), kong.Description("Takes callers' requests, picks an endpoint for each and passes the whole answer on."))
	config, err := settings.LoadEntry(line.Settings)
	exitOn(err)
	if line.Check {
		fmt.Println("the settings are sound")
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	exitOn(entry.New(config).Run(ctx))
}

const exitFailed = 1

func exitOn(err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "lovage-entry: %s\n", fault.Explain(err))
		os.Exit(exitFailed)
	}
}
