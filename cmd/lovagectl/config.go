package main

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/operate"
)

type configCmd struct {
	Check    checkCmd      `cmd:"" help:"Check a folder of configuration files and print everything that is wrong. Needs no platform."`
	Diff     diffCmd       `cmd:"" help:"Print what applying a folder would change."`
	Apply    applyCmd      `cmd:"" help:"Check a folder of configuration files and put it in force as a new generation."`
	Show     showCmd       `cmd:"" help:"Print the configuration in force, or that of an older generation, as a file that can be applied."`
	History  historyCmd    `cmd:"" help:"List the accepted generations, the newest first."`
	Rollback rollbackCmd   `cmd:"" help:"Put an older generation's configuration in force again, as a new generation."`
	Wait     configWaitCmd `cmd:"" help:"Wait until every host holds the configuration; exits with 5 and names those that do not."`
}

type checkCmd struct {
	Folder string `arg:"" help:"Folder of .json files."`
	JSON   bool   `name:"json" help:"Print the findings as JSON."`
}

func (c *checkCmd) Run(operator *operate.Operator) error {
	return operator.CheckFolder(c.Folder, c.JSON)
}

type diffCmd struct {
	Folder string `arg:"" help:"Folder of .json files."`
	JSON   bool   `name:"json" help:"Print the changes as JSON."`
}

func (c *diffCmd) Run(ctx context.Context, operator *operate.Operator) error {
	return operator.Diff(ctx, c.Folder, c.JSON)
}

// originFlags identify the publisher and the reason of a publication.
type originFlags struct {
	By        string `env:"USER" help:"Your name, for the history."`
	Note      string `help:"Why, for the history."`
	PublishID string `help:"Identity of this publication. Give that of an apply whose outcome is not known to repeat it: it takes effect once at most." placeholder:"ID"`
}

func (f originFlags) publishOptions() operate.PublishOptions {
	return operate.PublishOptions{By: f.By, Note: f.Note, PublishID: f.PublishID}
}

// waitFlags control whether a command waits until all hosts have the new generation.
type waitFlags struct {
	Wait    bool          `help:"Wait until every host holds the new generation."`
	Timeout time.Duration `default:"60s" help:"Give up waiting after this time."`
}

func (f waitFlags) wait(ctx context.Context, operator *operate.Operator) error {
	if !f.Wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	return operator.WaitConfirmed(ctx, 0, false)
}

type applyCmd struct {
	Folder string          `arg:"" help:"Folder of .json files."`
	Base   core.Generation `help:"Publish only while this generation is in force, such as the one that you ran diff against." placeholder:"GENERATION"`
	originFlags
	waitFlags
}

func (c *applyCmd) Run(ctx context.Context, operator *operate.Operator) error {
	options := c.publishOptions()
	options.Base = c.Base
	if err := operator.Apply(ctx, c.Folder, options); err != nil {
		return err
	}
	return c.wait(ctx, operator)
}

type showCmd struct {
	Generation core.Generation `arg:"" optional:"" help:"Generation to show; without it the one in force."`
	Head       bool            `help:"Print the generation's number, digest and origin alone."`
}

func (c *showCmd) Run(ctx context.Context, operator *operate.Operator) error {
	return operator.Show(ctx, c.Generation, c.Head)
}

type historyCmd struct {
	Limit int  `default:"20" help:"Generations to list."`
	JSON  bool `name:"json" help:"Print the history as JSON."`
}

func (c *historyCmd) Run(ctx context.Context, operator *operate.Operator) error {
	return operator.History(ctx, c.Limit, c.JSON)
}

type rollbackCmd struct {
	Generation core.Generation `arg:"" optional:"" help:"Generation to repeat; without it the one before that in force."`
	originFlags
	waitFlags
}

func (c *rollbackCmd) Run(ctx context.Context, operator *operate.Operator) error {
	if err := operator.Rollback(ctx, c.Generation, c.publishOptions()); err != nil {
		return err
	}
	return c.wait(ctx, operator)
}

type configWaitCmd struct {
	Generation core.Generation `arg:"" optional:"" help:"Generation to wait for; without it the one in force."`
	Timeout    time.Duration   `default:"60s" help:"Give up after this time."`
	JSON       bool            `name:"json" help:"Print as JSON who confirmed and who did not."`
}

func (c *configWaitCmd) Run(ctx context.Context, operator *operate.Operator) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return operator.WaitConfirmed(ctx, c.Generation, c.JSON)
}
