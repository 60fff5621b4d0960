// Command lovagectl is the operators' client.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kong"

	"github.com/lovageglade/lovageglade/internal/operate"
	"github.com/lovageglade/lovageglade/internal/settings"
)

type commandLine struct {
	Platform string     `help:"JSON file with the platform's addresses." placeholder:"FILE" env:"LOVAGE_PLATFORM"`
	Config   configCmd  `cmd:"" help:"Check a configuration and put it in force."`
	Version  versionCmd `cmd:"" help:"Add model versions."`
	Domain   domainCmd  `cmd:"" help:"Take a failure domain out of service and bring it back."`
	Status   statusCmd  `cmd:"" help:"Show every host, its configuration and its versions."`
	Wait     waitCmd    `cmd:"" help:"Wait until the configuration is in force and served everywhere."`
}

func main() {
	var line commandLine
	parser := kong.Parse(&line, kong.Name("lovagectl"), kong.Description("The operators' client of lovageglade."))
	addresses := settings.Platform{}
	if line.Platform != "" {
		var err error
		addresses, err = settings.LoadPlatform(line.Platform)
		parser.FatalIfErrorf(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parser.BindTo(ctx, (*context.Context)(nil))
	parser.FatalIfErrorf(parser.Run(operate.New(addresses, os.Stdout)))
}
