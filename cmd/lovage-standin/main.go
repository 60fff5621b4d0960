// Command lovage-standin runs a stand-in for an external system, such as the platform or a model engine, for tests and the
// demo.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/standin"
)

type commandLine struct {
	Listen   string      `required:"" help:"IP number and port to listen on." placeholder:"IP:PORT"`
	Platform platformCmd `cmd:"" help:"Tables, objects, host list and origin."`
	Engine   engineCmd   `cmd:"" help:"A model engine."`
	Plain    plainCmd    `cmd:"" help:"A plain service with bookings."`
}

type platformCmd struct {
	OriginRate int64 `help:"Rate of the origin's link in bytes a second, 0 for no limit."`
}

type engineCmd struct {
	Tokens  int           `default:"20" help:"Tokens of each answer."`
	Between time.Duration `default:"5ms" help:"Time between tokens."`
}

type plainCmd struct{}

func (c *platformCmd) Run(listen string) error {
	return serve(listen, standin.NewPlatform(c.OriginRate).App())
}

func (c *engineCmd) Run(listen string) error {
	return serve(listen, standin.NewEngine(c.Tokens, c.Between).App())
}

func (c *plainCmd) Run(listen string) error {
	return serve(listen, standin.NewPlainService().App())
}

func serve(listen string, app *fiber.App) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return app.Listen(listen, fiber.ListenConfig{DisableStartupMessage: true, GracefulContext: ctx})
}

func main() {
	var args commandLine
	parser := kong.Parse(&args, kong.Name("lovage-standin"), kong.Description("A stand-in of the platform, of a model engine or of a plain service."))
	parser.FatalIfErrorf(parser.Run(args.Listen))
}
