package main

import (
	"context"
	"fmt"
	"time"

	"github.com/lovageglade/lovageglade/internal/burn"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/operate"
)

type burnCmd struct {
	Windows   []time.Duration `default:"10m,1h,6h,24h" help:"Windows of time, each from 5m to 24h, that end now."`
	Threshold float64         `help:"Exit with 6 when a burn rate is above this, in any window. At 1 the budget is spent exactly when the window ends."`
	JSON      bool            `name:"json" help:"Print the report as JSON."`
	SVG       string          `name:"svg" help:"Plot the burn rates to this file." placeholder:"FILE"`
}

const shortestWindow = 5 * time.Minute

func (c *burnCmd) Run(ctx context.Context, operator *operate.Operator) error {
	for _, window := range c.Windows {
		if window < shortestWindow || window > burn.MaxWindow {
			return fault.New(fault.BadSettings, fmt.Sprintf("the window %s is not kept", window), "name windows from 5m to 24h with --windows")
		}
	}
	return operator.Burn(ctx, operate.BurnOptions{Windows: c.Windows, Threshold: c.Threshold, JSON: c.JSON, SVG: c.SVG})
}
