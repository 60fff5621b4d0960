package daemon

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
)

// The last lines tell why a process stopped, also if it failed.
func TestLastLineOfAProcessIsWritten(t *testing.T) {
	const runs = 100
	for i := range runs {
		var failure error
		if i%2 == 1 {
			failure = errors.New("failed")
		}
		out, err := outputOf(t, Program[settings.Place]{
			Load:         func(string) (settings.Place, error) { return settings.Place{Host: "h"}, nil },
			HostSettings: func(config settings.Place) settings.Place { return config },
			Run: func(_ context.Context, _ settings.Place, _ *rpc.Client, logger *log.Logger) error {
				logger.Info().Msg("stopped")
				return failure
			},
		})
		if !errors.Is(err, failure) || !strings.Contains(out, `"message":"stopped"`) {
			t.Fatalf("run %d: error %v, output %q", i, err, out)
		}
	}
}

// outputOf returns what the program has written to its standard output when it ends.
func outputOf(t *testing.T, program Program[settings.Place]) (string, error) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	stdout := os.Stdout
	os.Stdout = writer
	runErr := run(program, commandLine{}, nil)
	os.Stdout = stdout
	_ = writer.Close() // as at the end of a process
	out, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	return string(out), runErr
}
