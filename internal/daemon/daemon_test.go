package daemon

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/settings"
)

// phaseVariable makes the test binary a daemon that stays in the named phase while lines arrive on standard input.
const phaseVariable = "DAEMON_TEST_PHASE"

func TestMain(m *testing.M) {
	if phase := os.Getenv(phaseVariable); phase != "" {
		runDaemon(phase)
		return
	}
	os.Exit(m.Run())
}

// runDaemon echoes the lines of standard input to standard error while it is in the phase, the first one when it gets there.
func runDaemon(phase string) {
	enter := func(current string) {
		if current == phase {
			_, _ = io.Copy(os.Stderr, os.Stdin)
		}
	}
	var loaded sync.Once
	os.Args = []string{"daemon", "--settings", "none"}
	Main(Program[settings.Place]{
		Load: func(string) (settings.Place, error) {
			loaded.Do(func() { enter("starting") })
			return settings.Place{}, nil
		},
		HostSettings: func(place settings.Place) settings.Place { return place },
		Run: func(ctx context.Context, _ settings.Place, _ *rpc.Client, _ *log.Logger) error {
			enter("serving")
			_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
			<-ctx.Done()
			enter("draining")
			return nil
		},
	})
}

// The default action of SIGHUP ends a process, and its open requests with it.
func TestSIGHUPNeverEndsTheProcess(t *testing.T) {
	for _, phase := range []string{"starting", "serving", "draining"} {
		t.Run(phase, func(t *testing.T) {
			child := exec.Command(os.Args[0])
			child.Env = append(os.Environ(), phaseVariable+"="+phase)
			input, inputErr := child.StdinPipe()
			output, outputErr := child.StderrPipe()
			if inputErr != nil || outputErr != nil || child.Start() != nil {
				t.Fatal("cannot start the daemon")
			}
			lines := bufio.NewScanner(output)
			const hangups = 100
			for sent := range hangups {
				if _, err := io.WriteString(input, "go on\n"); err != nil || !lines.Scan() || !strings.Contains(lines.Text(), "go on") {
					t.Errorf("the daemon has ended after %d SIGHUPs", sent)
					break
				}
				_ = child.Process.Signal(syscall.SIGHUP) // fails only if it has ended
			}
			_ = input.Close()
			if err := child.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}
