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
	seeds  = flag.Int("seeds", 0, "seeds that TestFreshSeeds plays")
	first  = flag.Uint64("first", 1, "the first of these seeds")
	length = flag.Duration("length", 15*time.Second, "time in which each of them draws faults")
)

const shortLength = 8 * time.Second // of the seeds that every test run plays

// shortSeeds are played by every test run.
var shortSeeds = []uint64{1, 2}

// regressions are seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{217, "the soak's operator named a version while the store was away, and counted from then"},
}

var binaries string // folder of the programs, built with the race detector if the tests are

func TestMain(m *testing.M) {
	flag.Parse()
	programs.RunTests(m, func(folder string) { binaries = folder }, "lovage-gateway", "lovage-sidecar")
}

func TestShortSeeds(t *testing.T) {
	for _, seed := range shortSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed, shortLength) })
	}
	for _, r := range regressions {
		t.Run(fmt.Sprint("regression ", r.seed), func(t *testing.T) { soak(t, r.seed, shortLength) })
	}
}

// TestFreshSeeds plays the seeds that the command line asks for.
func TestFreshSeeds(t *testing.T) {
	if *seeds == 0 {
		t.Skip("no seeds are asked for; see the package's comment")
	}
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, *length)
		})
	}
}

// soak disturbs a new system for the time, lets it recover, and checks what happened.
func soak(t *testing.T, seed uint64, length time.Duration) {
	w := newWorld(t, seed)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	w.checkRecovery(ctx) // the start is one
	var clients sync.WaitGroup
	traffic, endTraffic := context.WithCancel(ctx)
	for number := range clientCount {
		clients.Go(func() { w.client(traffic, number) })
	}
	w.disturb(length)
	w.checkRecovery(ctx)
	endTraffic()
	clients.Wait()
	w.checkRuns()
}
