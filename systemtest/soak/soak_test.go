// Package soak runs gateways and sidecars as separate processes on loopback. It injects faults, drawn from a seed, into
// them and their dependencies, and checks the system's promises by what clients and back ends observe.
//
// To run more seeds: go test ./systemtest/soak -run TestFreshSeeds -count=1 -parallel 3 -timeout 60m -args -seeds 50 -first 1000 -length 15s
package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/systemtest/programs"
)

var (
	seedCount     = flag.Int("seeds", 0, "number of seeds that TestFreshSeeds runs")
	firstSeed     = flag.Uint64("first", 1, "the first of these seeds")
	faultDuration = flag.Duration("length", 15*time.Second, "time in which faults are injected, for each seed")
)

const shortFaultDuration = 8 * time.Second // for the seeds of every test run

// shortSeeds are the seeds of every test run.
var shortSeeds = []uint64{1, 2}

// regressions are seeds that failed in the past, each with the cause of the failure.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{41215, "the soak wrote two versions in the wrong order, and no process saw the newer one"},
	{217, "the soak published a version while the store was unavailable and measured its time bound from then on"},
}

var binaryFolder string // folder of the commands, which are built with the race detector if the tests are

func TestMain(m *testing.M) {
	flag.Parse()
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) // under nohup, the processes would inherit that it is ignored
	programs.RunTests(m, func(folder string) { binaryFolder = folder }, "lovage-gateway", "lovage-sidecar")
}

func TestShortSeeds(t *testing.T) {
	for _, seed := range shortSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed, shortFaultDuration, anySchedule) })
	}
	for _, r := range regressions {
		t.Run(fmt.Sprint("regression ", r.seed), func(t *testing.T) { runSoak(t, r.seed, shortFaultDuration, disruptiveSchedule) })
	}
}

// TestFreshSeeds runs the seeds that the flags select.
func TestFreshSeeds(t *testing.T) { runFreshSeeds(t, anySchedule) }

func runFreshSeeds(t *testing.T, drawn schedule) {
	runSelectedSeeds(t, func(t *testing.T, seed uint64) { runSoak(t, seed, *faultDuration, drawn) })
}

func runSelectedSeeds(t *testing.T, run func(t *testing.T, seed uint64)) {
	if *seedCount == 0 {
		t.Skip("no seeds are selected; see the package comment")
	}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// runSoak injects faults into a new system for the given time, lets it recover, and checks all promises.
func runSoak(t *testing.T, seed uint64, faultDuration time.Duration, drawn schedule) {
	newSystem(t, seed).soak(faultDuration, drawn)
}

func (s *system) soak(faultDuration time.Duration, drawn schedule) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.checkRecovery(ctx) // the start counts as a recovery
	var clients sync.WaitGroup
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	for number := range clientCount {
		clients.Go(func() { s.runClient(trafficCtx, number) })
	}
	done := make(chan struct{})
	clients.Go(func() { s.watchMemory(done) })
	s.injectFaults(faultDuration, drawn)
	s.checkRecovery(ctx)
	stopTraffic()
	close(done)
	clients.Wait()
	s.checkRuns()
}
