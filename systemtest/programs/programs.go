// Package programs builds the project's commands for tests that run them as separate processes.
package programs

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// RunTests builds the commands, runs the tests and exits the process. The commands are built with the race detector if
// the tests are. Before the tests run, setFolder receives the folder that holds the programs.
func RunTests(m *testing.M, setFolder func(string), commands ...string) {
	code, err := buildAndRun(m, setFolder, commands)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M, setFolder func(string), commands []string) (int, error) {
	folder, err := os.MkdirTemp("", "lovage-bin")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(folder)
	setFolder(folder)
	arguments := []string{"build", raceFlag, "-o", folder + "/"}
	for _, command := range commands {
		arguments = append(arguments, "github.com/lovageglade/lovageglade/cmd/"+command)
	}
	build := exec.Command("go", arguments...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1, err
	}
	return m.Run(), nil
}
