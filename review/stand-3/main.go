//go:build review

// Command stand-3 plays the cases of the third review. Each case starts the project's programs as separate processes beside
// stand-ins of the platform, and judges what clients and runners see. Exit status: 0 if the rule held, 1 if it was broken, 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	ruleHeld     = 0
	ruleBroken   = 1
	couldNotRun  = 2
	wantedParams = 3
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
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD")
		os.Exit(couldNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(r *record, trouble bool) (bool, error), path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer r.close()
	broken, err := play(r, os.Getenv("TROUBLE") != "0")
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
