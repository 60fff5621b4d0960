package main

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/operate"
)

type domainCmd struct {
	Out domainOutCmd `cmd:"" help:"Take a failure domain out of service: it receives no new work."`
	In  domainInCmd  `cmd:"" help:"Bring a failure domain back into service."`
}

type domainOutCmd struct {
	domainArgs
}

// domainArgs are the arguments that "domain out" and "domain in" share.
type domainArgs struct {
	Name    core.FailureDomain `arg:"" help:"Failure domain."`
	Wait    bool               `help:"Wait until every host has confirmed and, on the way out, no work is left. Names the hosts that have not."`
	Timeout time.Duration      `default:"60s" help:"Give up waiting after this time."`
}

func (c *domainOutCmd) Run(ctx context.Context, operator *operate.Operator) error {
	return c.set(ctx, operator, true)
}

type domainInCmd struct {
	domainArgs
}

func (c *domainInCmd) Run(ctx context.Context, operator *operate.Operator) error {
	return c.set(ctx, operator, false)
}

func (d *domainArgs) set(ctx context.Context, operator *operate.Operator, out bool) error {
	if err := operator.SetDomain(ctx, d.Name, out); err != nil || !d.Wait {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	return operator.WaitDomain(ctx, d.Name, out)
}
