package main

import (
	"context"
	"fmt"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/operate"
)

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
