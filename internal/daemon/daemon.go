// Package daemon contains what the programs on a platform with a service registry share: command line, settings,
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

// Program describes a program whose settings have type T.
type Program[T any] struct {
	Name         string
	Description  string
	Load         func(path string) (T, error) // reads and validates the settings
	HostSettings func(config T) settings.Place
	Run          func(ctx context.Context, config T, peers *rpc.Client, logger *log.Logger) error // runs until the context ends
}

type commandLine struct {
	Settings string `required:"" env:"LOVAGEGLADE_NODE_FILE" help:"JSON file with the settings of this host." placeholder:"FILE"`
	Check    bool   `help:"Check the settings, print what is wrong, and exit."`
}

const (
	exitFailed = 1
	// collectorShare of the memory is what the garbage collector tries to keep within, by running more often. The rest is for what it
	// does not count.
	collectorShare = 0.75
)

// Main runs the program until SIGTERM or SIGINT. It exits with status 1 if the program fails.
func Main[T any](program Program[T]) {
	hangups := telemetry.CatchSIGHUP() // before anything else, and until the process ends, so that none of them ends it
	var flags commandLine
	kong.Parse(&flags, kong.Name(program.Name), kong.Description(program.Description))
	if err := run(program, flags, hangups); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %s\n", program.Name, fault.Explain(err))
		os.Exit(exitFailed)
	}
}

func run[T any](program Program[T], flags commandLine, hangups <-chan os.Signal) error {
	config, err := program.Load(flags.Settings)
	if err != nil {
		return err
	}
	if flags.Check {
		fmt.Println("the settings are sound")
		return nil
	}
	host := program.HostSettings(config)
	if host.GCPercent > 0 {
		debug.SetGCPercent(host.GCPercent)
	}
	LimitMemory(host.Resources)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger, closeLog := telemetry.NewRateLimitedLogger(host.LogLevel, host.Host)
	defer closeLog()
	go telemetry.ReloadOnSIGHUP(ctx, hangups, logger, func() error {
		reloaded, err := program.Load(flags.Settings)
		if err == nil {
			setLevel(logger, telemetry.ParseLevel(program.HostSettings(reloaded).LogLevel))
		}
		return err
	})
	go telemetry.ListenAndServeMetrics(ctx, logger, host.Address, host.MetricsPort)
	peers := rpc.NewClient()
	defer peers.Close()
	return program.Run(ctx, config, peers, logger)
}

// LimitMemory makes the garbage collector aim at a share of the memory, if the settings state it.
func LimitMemory(resources settings.Resources) {
	if resources.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(collectorShare * float64(resources.MemoryBytes())))
	}
}

// setLevel sets the logger's level if it differs: the logger reads it without synchronization.
func setLevel(logger *log.Logger, level log.Level) {
	if level != logger.Level {
		logger.SetLevel(level)
	}
}
