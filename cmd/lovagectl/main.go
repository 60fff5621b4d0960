// Command lovagectl is the command-line client for operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/operate"
	"github.com/lovageglade/lovageglade/internal/settings"
)

const description = `The operators' client of lovageglade.

A configuration is a folder of .json files that hold failure domains, workspaces, models, versions, services and rules.
Check it, see what it changes, put it in force and wait until every host holds it:

  lovagectl config check FOLDER
  lovagectl config diff FOLDER
  lovagectl config apply FOLDER --note "why"
  lovagectl config wait

The logs of gateways and sidecars tell what became of a request:

  lovagectl explain REQUEST FOLDER

A gateway tells where a request would go now, without sending it; exit codes 0 served, 3 refused, 4 unknown route or key:

  lovagectl where GATEWAY HOST PATH --key KEY --model MODEL

Exit codes: 0 done, 1 failed, 3 wrong configuration or settings, 4 another operator's change won, 5 not confirmed in time,
6 a burn rate above the threshold, 7 the platform gave no answer, 8 not found, 80 wrong command line.`

type commandLine struct {
	Platform string     `help:"JSON file with the platform's addresses." placeholder:"FILE" env:"LOVAGE_PLATFORM"`
	Hosts    []string   `help:"Control addresses of hosts. While the platform is away, status and burn ask these." placeholder:"IP:PORT" env:"LOVAGE_HOSTS"`
	Config   configCmd  `cmd:"" help:"Check configurations, put them in force, list them and go back."`
	Version  versionCmd `cmd:"" help:"Add model versions."`
	Domain   domainCmd  `cmd:"" help:"Take a failure domain out of service and bring it back."`
	Status   statusCmd  `cmd:"" help:"Show every host, its configuration and its versions."`
	Burn     burnCmd    `cmd:"" help:"Show how fast each service-level objective's budget is spent."`
	Explain  explainCmd `cmd:"" help:"Tell from logs what became of a request."`
	Where    whereCmd   `cmd:"" help:"Tell where a request would go now, without sending it."`
	Wait     waitCmd    `cmd:"" help:"Wait until the configuration is in force and its versions are served everywhere."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr, os.Exit)
	stop()
	os.Exit(code)
}

// run executes a command line and returns its exit code. Kong calls exit for --help.
func run(ctx context.Context, args []string, out, errOut io.Writer, exit func(int)) int {
	var flags commandLine
	parser, err := kong.New(&flags, kong.Name("lovagectl"), kong.Description(description), kong.Writers(out, errOut), kong.Exit(exit))
	if err != nil {
		return reportError(errOut, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "lovagectl: %s; lovagectl --help lists the commands\n", err)
		return exitUsage
	}
	platform, err := loadPlatform(flags.Platform, parsed.Command())
	if err != nil {
		return reportError(errOut, err)
	}
	operator := operate.New(platform, out)
	operator.By = os.Getenv("USER")
	operator.Hosts = flags.Hosts
	defer operator.Peers.Close()
	parsed.BindTo(ctx, (*context.Context)(nil))
	return reportError(errOut, parsed.Run(operator))
}

const exitUsage = 80 // same as kong's exit code for usage errors

// reportError prints err, if any, and returns the exit code for it.
func reportError(errOut io.Writer, err error) int {
	var status exitStatus
	if errors.As(err, &status) {
		return int(status)
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "lovagectl: %s\n", fault.Explain(err))
	}
	return operate.ExitCode(err)
}

// loadPlatform reads the platform's addresses from the file. Without a file it returns none for the commands that work
// offline, and an error for all others.
func loadPlatform(file, command string) (settings.Platform, error) {
	if file != "" {
		return settings.LoadPlatform(file)
	}
	if strings.HasPrefix(command, "config check") || strings.HasPrefix(command, "explain") || strings.HasPrefix(command, "where") {
		return settings.Platform{}, nil
	}
	return settings.Platform{}, fault.New(fault.BadSettings, "the platform's addresses are not known", "name their JSON file with --platform or in LOVAGE_PLATFORM")
}
