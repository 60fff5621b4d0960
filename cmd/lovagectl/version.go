package main

import (
	"context"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/operate"
)

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
