// Package daemon is what the programs on a platform with a service registry have in common: their command line, settings,
// signals, logs and metrics.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// Program is one of them, with settings of type T.
type Program[T any] struct {
	Name        string
	Description string
	Load        func(path string) (T, error) // reads and checks the settings
	Place       func(config T) settings.Place
	Run         func(ctx context.Context, config T, peers *rpc.Client, logger *log.Logger) error // until the context ends
}

type commandLine struct {
	Settings string `required:"" env:"LOVAGEGLADE_NODE_FILE" help:"JSON file with the settings of this host." placeholder:"FILE"`
	Check    bool   `help:"Check the settings, print what is wrong, and exit."`
}

const exitFailed = 1

// Main runs the program until SIGTERM or an interrupt. It exits with 1 if the program fails.
func Main[T any](program Program[T]) {
	var line commandLine
	kong.Parse(&line, kong.Name(program.Name), kong.Description(program.Description))
	if err := start(program, line); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %s\n", program.Name, fault.Explain(err))
		os.Exit(exitFailed)
	}
}

func start[T any](program Program[T], line commandLine) error {
	config, err := program.Load(line.Settings)
	if err != nil {
		return err
	}
	if line.Check {
		fmt.Println("the settings are sound")
		return nil
	}
	place := program.Place(config)
	if place.GCPercent > 0 {
		debug.SetGCPercent(place.GCPercent)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger := telemetry.NewBoundedLogger(place.LogLevel, place.Host)
	go telemetry.OnHangup(ctx, logger, func() error {
		fresh, err := program.Load(line.Settings)
		if err == nil {
			logger.SetLevel(telemetry.LevelOf(program.Place(fresh).LogLevel))
		}
		return err
	})
	go telemetry.ServeMetricsAt(ctx, logger, place.Address, place.MetricsPort)
	peers := rpc.NewClient()
	defer peers.Close()
	return program.Run(ctx, config, peers, logger)
}
