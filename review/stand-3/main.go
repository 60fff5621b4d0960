//go:build review

// Command stand-3 plays the cases of the third review. Each case starts the project's programs as separate processes beside
// stand-ins of the platform, and judges what clients and runners see. Exit status: 0 if the rule held, 1 if it was broken, 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	ruleHeld     = 0
	ruleBroken   = 1
	couldNotRun  = 2
	wantedParams = 4
	withoutIt    = "0" // the third argument for a play without the trouble
	longestPlay  = 115 * time.Second
)

// cases are the plays by name. Each returns whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"late-begin":  playLateBegin,
	"low-limit":   playLowLimit,
	"quiet-end":   playQuietEnd,
	"slow-reader": playSlowReader,
}

func main() {
	if len(os.Args) != wantedParams || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD TROUBLE")
		os.Exit(couldNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3] != withoutIt))
}

func run(play func(r *record, trouble bool) (bool, error), path string, trouble bool) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer r.close()
	endEarly(r)
	r.printf("with the trouble: %v", trouble)
	broken, err := play(r, trouble)
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		return couldNotRun
	case broken:
		r.printf("RULE BROKEN")
		return ruleBroken
	}
	r.printf("rule held")
	return ruleHeld
}

// endEarly ends all processes that the play has started, and this one, when it gets a signal or has taken too long.
func endEarly(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestPlay):
		}
		r.printf("could not run: ended early")
		r.close()
		os.Exit(couldNotRun) // the kernel ends the processes, as startProcess has asked
	}()
}
