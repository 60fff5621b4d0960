// Command lovagectl is the operators' client.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/alecthomas/kong"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
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

type configCmd struct {
	Check checkCmd `cmd:"" help:"Check a folder of configuration files and print everything that is wrong."`
	Apply applyCmd `cmd:"" help:"Check a folder of configuration files and put it in force."`
}

type checkCmd struct {
	Folder string `arg:"" help:"Folder of .json files."`
}

func (c *checkCmd) Run() error {
	set, err := config.ReadFolder(c.Folder)
	if err != nil {
		return err
	}
	if err := config.Check(set); err != nil {
		return err
	}
	fmt.Println("the configuration is sound")
	return nil
}

type applyCmd struct {
	Folder string `arg:"" help:"Folder of .json files."`
}

func (c *applyCmd) Run(ctx context.Context, operator *operate.Operator) error {
	return operator.Apply(ctx, c.Folder)
}

type versionCmd struct {
	Add addCmd `cmd:"" help:"Upload weights and print the version's identity."`
}

type addCmd struct {
	File       string     `arg:"" help:"File that holds the weights."`
	Model      core.Model `required:"" help:"Model of which this is a version."`
	Object     string     `required:"" help:"Name of the weights at the origin."`
	ChunkBytes int64      `default:"16777216" help:"Bytes of a chunk."`
}

func (c *addCmd) Run(ctx context.Context, operator *operate.Operator) error {
	return operator.AddVersion(ctx, c.Model, c.Object, c.File, c.ChunkBytes)
}

type domainCmd struct {
	Out domainOutCmd `cmd:"" help:"Take a failure domain out of service: it receives no new work."`
	In  domainInCmd  `cmd:"" help:"Bring a failure domain back into service."`
}

type domainOutCmd struct {
	Name core.FailureDomain `arg:"" help:"Failure domain."`
}

func (c *domainOutCmd) Run(ctx context.Context, operator *operate.Operator) error {
	return operator.SetDomain(ctx, c.Name, true)
}

type domainInCmd struct {
	Name core.FailureDomain `arg:"" help:"Failure domain."`
}

func (c *domainInCmd) Run(ctx context.Context, operator *operate.Operator) error {
	return operator.SetDomain(ctx, c.Name, false)
}

type statusCmd struct{}

func (c *statusCmd) Run(ctx context.Context, operator *operate.Operator) error {
	return operator.Status(ctx)
}

type waitCmd struct {
	Timeout time.Duration `default:"60s" help:"Give up after this time."`
}

func (c *waitCmd) Run(ctx context.Context, operator *operate.Operator) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return operator.Wait(ctx)
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
