package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/operate"
	"github.com/lovageglade/lovageglade/internal/where"
)

// whereTimeout bounds the wait for the gateway, which answers from memory.
const whereTimeout = 5 * time.Second

type whereCmd struct {
	Gateway      string            `arg:"" help:"Control address of the gateway." placeholder:"IP:PORT"`
	Host         string            `arg:"" help:"Host of the request, without a port."`
	Path         string            `arg:"" help:"Path of the request."`
	Key          string            `help:"API key of the caller." env:"LOVAGE_KEY"`
	Model        string            `help:"Model that the request names."`
	PromptTokens int               `help:"Tokens of the prompt."`
	Part         []core.PromptPart `help:"A part of the prompt that other requests have too. May be repeated."`
	TimeLeft     time.Duration     `help:"How long the caller waits."`
	JSON         bool              `name:"json" help:"Print the answer as JSON."`
}

func (c *whereCmd) Run(ctx context.Context, operator *operate.Operator) error {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	question := where.Question{Host: c.Host, Path: c.Path, Key: c.Key, Model: core.Model(c.Model), PromptTokens: c.PromptTokens, Parts: c.Part, TimeLeft: c.TimeLeft}
	var answer where.Answer
	if err := operator.Peers.Call(ctx, c.Gateway, where.Method, question, &answer); err != nil {
		return err
	}
	if err := c.write(operator, answer); err != nil {
		return err
	}
	return whereStatus(answer.Result)
}

func (c *whereCmd) write(operator *operate.Operator, answer where.Answer) error {
	if !c.JSON {
		return answer.Write(operator.Out)
	}
	encoder := json.NewEncoder(operator.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(answer)
}

// whereStatus returns nil for a request that would be served, else the command's exit code.
func whereStatus(result where.Result) error {
	switch result {
	case where.Served:
		return nil
	case where.Unknown:
		return exitStatus(4)
	default:
		return exitStatus(3)
	}
}

// exitStatus is the exit code of a command that has printed its result.
type exitStatus int

// Error implements error.
func (s exitStatus) Error() string { return fmt.Sprintf("exit code %d", int(s)) }
