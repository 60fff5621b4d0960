package main

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/operate"
)

type versionCmd struct {
	Add    addCmd           `cmd:"" help:"Upload weights and print the version's identity."`
	Status versionStatusCmd `cmd:"" help:"Show the replicas of each version in each failure domain."`
	Wait   versionWaitCmd   `cmd:"" help:"Wait until every replica serves, and show the progress."`
}

type addCmd struct {
	Path       string     `arg:"" help:"File that holds the weights, or folder of such files."`
	Model      core.Model `required:"" help:"Model of which this is a version."`
	Object     string     `required:"" help:"Name of the weights at the origin."`
	ChunkBytes int64      `default:"16777216" help:"Bytes of a chunk."`
}

func (c *addCmd) Run(ctx context.Context, operator *operate.Operator) error {
	return operator.AddVersion(ctx, c.Model, c.Object, c.Path, c.ChunkBytes)
}

type versionStatusCmd struct {
	Name string `arg:"" optional:"" help:"Version's name in the configuration; all by default."`
	JSON bool   `name:"json" help:"Print the status as JSON."`
}

func (c *versionStatusCmd) Run(ctx context.Context, operator *operate.Operator) error {
	return operator.VersionStatus(ctx, c.Name, c.JSON)
}

type versionWaitCmd struct {
	Name    string        `arg:"" optional:"" help:"Version's name in the configuration; all by default."`
	Timeout time.Duration `default:"10m" help:"Give up after this time, with exit code 5."`
}

func (c *versionWaitCmd) Run(ctx context.Context, operator *operate.Operator) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return operator.WaitVersion(ctx, c.Name)
}
