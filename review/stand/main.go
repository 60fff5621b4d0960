//go:build review

// Command stand runs the cases of the review: it starts the programs of the deploy file with stand-ins of the platform around them,
// plays one order of events, and checks what clients and runners have seen against one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// cases are the cases by name. Each returns the breaks of its rule that it has seen.
var cases = map[string]func(s *system) []string{}

func main() {
	if len(os.Args) >= 2 && os.Args[1] == "runner" {
		runnerMain(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs the case and writes record.txt into the folder.
func runCase(name, folder string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	s := newSystem(record, os.Getenv("TROUBLE") != "0")
	defer s.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		s.close()
		os.Exit(exitNotRun)
	}()
	defer func() {
		if problem := recover(); problem != nil {
			s.logf("the case could not run: %v", problem)
			fmt.Println("the case could not run:", problem)
			code = exitNotRun
		}
	}()
	breaks := cases[name](s)
	for _, b := range breaks {
		s.logf("BROKEN %s", b)
	}
	s.logf("%d breaks", len(breaks))
	fmt.Printf("%s: %d breaks of the rule\n", name, len(breaks))
	if len(breaks) > 0 {
		fmt.Println(breaks[0])
		return exitBroken
	}
	return exitHeld
}
