package main

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/operate"
)

type statusCmd struct {
	JSON bool `name:"json" help:"Print the status as JSON."`
}

func (c *statusCmd) Run(ctx context.Context, operator *operate.Operator) error {
	return operator.Status(ctx, c.JSON)
}

type waitCmd struct {
	Timeout time.Duration `default:"60s" help:"Give up after this time."`
}

func (c *waitCmd) Run(ctx context.Context, operator *operate.Operator) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return operator.Wait(ctx)
}
