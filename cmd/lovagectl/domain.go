package main

import (
	"context"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/operate"
)

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
