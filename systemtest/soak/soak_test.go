// Package soak runs gateways and sidecars as separate processes on loopback, disturbs them and what they depend on by
// faults that are drawn from a seed, and checks the system's promises from what clients and back ends see.
//
// By hand: go test ./systemtest/soak -run TestFreshSeeds -count=1 -parallel 3 -timeout 60m -args -seeds 50 -first 1000 -length 15s
package soak

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/systemtest/programs"
)

var (
	seedCount     = flag.Int("seeds", 0, "seeds that TestFreshSeeds plays")
	firstSeed     = flag.Uint64("first", 1, "the first of these seeds")
	faultDuration = flag.Duration("length", 15*time.Second, "time in which each of them draws faults")
)

const shortFaultDuration = 8 * time.Second // of the seeds that every test run plays

// shortSeeds are played by every test run.
var shortSeeds = []uint64{1, 2}

// regressions are seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{217, "the soak's operator named a version while the store was away, and counted from then"},
}

var binaryFolder string // folder of the programs, built with the race detector if the tests are

func TestMain(m *testing.M) {
	flag.Parse()
	programs.RunTests(m, func(folder string) { binaryFolder = folder }, "lovage-gateway", "lovage-sidecar")
}

func TestShortSeeds(t *testing.T) {
	for _, seed := range shortSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed, shortFaultDuration) })
	}
	for _, r := range regressions {
		t.Run(fmt.Sprint("regression ", r.seed), func(t *testing.T) { runSoak(t, r.seed, shortFaultDuration) })
	}
}

// TestFreshSeeds plays the seeds that the command line asks for.
func TestFreshSeeds(t *testing.T) {
	if *seedCount == 0 {
		t.Skip("no seeds are asked for; see the package's comment")
	}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, seed, *faultDuration)
		})
	}
}

// runSoak disturbs a new system for the time, lets it recover, and checks what happened.
func runSoak(t *testing.T, seed uint64, faultDuration time.Duration) {
	s := newSystem(t, seed)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s.checkRecovery(ctx) // the start is one
	var clients sync.WaitGroup
	traffic, stopTraffic := context.WithCancel(ctx)
	for number := range clientCount {
		clients.Go(func() { s.runClient(traffic, number) })
	}
	s.injectFaults(faultDuration)
	s.checkRecovery(ctx)
	stopTraffic()
	clients.Wait()
	s.checkRuns()
}
