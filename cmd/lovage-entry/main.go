// Command lovage-entry runs on each entry host, behind the platform's balancer, and takes callers' requests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/lovageglade/lovageglade/internal/entry"
	"github.com/lovageglade/lovageglade/internal/settings"
)

type commandLine struct {
	Settings string `required:"" help:"JSON file with the settings of this host." placeholder:"FILE"`
	Check    bool   `help:"Check the settings, print what is wrong, and exit."`
}

func main() {
	var line commandLine
	parser := kong.Parse(&line, kong.Name("lovage-entry"), kong.Description("Takes callers' requests, picks an endpoint for each and passes the whole answer on."))
	config, err := settings.LoadEntry(line.Settings)
	parser.FatalIfErrorf(err)
	if line.Check {
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser.FatalIfErrorf(entry.New(config).Run(ctx))
}
