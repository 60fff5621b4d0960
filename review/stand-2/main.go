//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// scenario plays one case and returns whether the rule was broken. Without trouble it leaves out the disruption.
type scenario func(f *fleet, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"many-parts":       func(f *fleet, trouble bool) (bool, error) { return crashingPrompts(f, trouble, manyParts) },
	"answered-before":  func(f *fleet, trouble bool) (bool, error) { return crashingPrompts(f, trouble, answeredBefore) },
	"same-request":     func(f *fleet, trouble bool) (bool, error) { return crashingPrompts(f, trouble, sameRequest) },
	"new-session":      func(f *fleet, trouble bool) (bool, error) { return crashingPrompts(f, trouble, newSession) },
	"bursts":           func(f *fleet, trouble bool) (bool, error) { return crashingPrompts(f, trouble, bursts) },
	"seeds-gone":       func(f *fleet, trouble bool) (bool, error) { return crashingPrompts(f, trouble, seedsGone) },
	"restored-key":     func(f *fleet, trouble bool) (bool, error) { return restoredKey(f, trouble, 0) },
	"restored-no-seed": func(f *fleet, trouble bool) (bool, error) { return restoredKey(f, trouble, 2) },
	"spoilt-manifest":  spoiltManifest,
	"stated-rate":      statedRates,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 SCENARIO RECORD")
		return notRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	f, err := newFleet(r)
	if err != nil {
		r.tell("not run: %v", err)
		return notRun
	}
	defer f.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-stopped
		f.close()
		os.Exit(notRun)
	}()
	broken, err := scenarios[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.tell("not run: %v", err)
		return notRun
	case broken:
		r.tell("the rule was broken")
		return ruleBroken
	}
	r.tell("the rule held")
	return ruleHeld
}
