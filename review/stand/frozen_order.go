//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

func init() { cases["frozen-order"] = frozenOrder }

const (
	sideMachines = 12
	// freezeTime is how long one machine of twelve stands still.
	freezeTime = 3600 * time.Millisecond
	// spoiltPiece turns bad while the machine stands still: one piece of 48.
	spoiltPiece = 7
	bumpEvery   = 8500 * time.Millisecond
	bumps       = 10
)

// freezer freezes one machine at a time, when its process has verified the staged weights and has not yet sent the order.
type freezer struct {
	s *system

	mu       sync.Mutex
	frozen   bool
	pauses   []time.Duration      // between the last report before an order and the order, of orders that were not disturbed
	verified map[string]time.Time // by engine: when the last report after a verification was answered

	orderedAt map[string]time.Time
	delay     time.Duration // from the report to the freeze, on average; 0 before the first freeze
}

// reported is called when the engine has answered a report that follows a verification.
func (f *freezer) reported(e *engine, sidecar *process) {
	now := time.Now()
	f.mu.Lock()
	f.verified[e.name] = now
	begin := f.s.trouble && !f.frozen && len(f.pauses) >= calibrations
	f.frozen = f.frozen || begin
	if begin && f.delay == 0 {
		slices.Sort(f.pauses)
		f.delay = f.pauses[len(f.pauses)/2] / 2
	}
	delay := f.delay/2 + rand.N(max(f.delay, time.Microsecond))
	f.mu.Unlock()
	if !begin {
		return
	}
	for time.Since(now) < delay { // a sleep is not exact enough
	}
	sidecar.signal(syscall.SIGSTOP)
	f.s.logf("machine of %s freezes", e.name)
	go f.thaw(e, sidecar)
}

// thaw spoils a piece at the frozen machine's engine, and wakes the machine after freezeTime, or at once if the order was sent before.
// It adjusts the moment of the next freeze.
func (f *freezer) thaw(e *engine, sidecar *process) {
	time.Sleep(missTime)
	late := f.isOrdered(e)
	if !late {
		e.spoil(spoiltPiece)
		time.Sleep(freezeTime - missTime)
	}
	sidecar.signal(syscall.SIGCONT)
	f.s.logf("machine of %s wakes", e.name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen = false
	if late {
		f.delay = f.delay * 9 / 10
	} else {
		f.delay = f.delay * 13 / 10
	}
}

// calibrations is the number of undisturbed orders from which the moment of the first freeze is taken.
const calibrations = 4

// missTime is how long a machine stands still whose order was sent just before it froze.
const missTime = 50 * time.Millisecond

// isOrdered reports whether an order has arrived at the engine since the last verification.
func (f *freezer) isOrdered(e *engine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.orderedAt[e.name].After(f.verified[e.name])
}

// ordered is called when an order arrives at the engine.
func (f *freezer) ordered(e *engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orderedAt[e.name] = time.Now()
	if at, known := f.verified[e.name]; known && time.Since(at) < 100*time.Millisecond {
		f.pauses = append(f.pauses, time.Since(at))
	}
}

// frozenOrder: a machine freezes between the verification of staged weights and the order to load them, and a staged piece turns
// bad meanwhile. No token may be made with the bad piece.
func frozenOrder(s *system) []string {
	weights := platformtest.Weights{Model: "daka510000", Chunks: 48, ChunkBytes: 49152}
	origin := platformtest.NewOrigin(weights)
	s.onClose = append(s.onClose, origin.Close)
	s.store.Put("op", "config", configuration(1, weights, origin.Address(), []map[string]any{streamRoute()}))
	s.store.SetTargetVersion(weights.Model, 1)
	f := &freezer{s: s, verified: make(map[string]time.Time), orderedAt: make(map[string]time.Time)}
	var engines []*engine
	for i := range sideMachines {
		engines = append(engines, s.newEngine(i, weights))
	}
	s.startGateways(3)
	s.startSidecars(sideMachines, func(i int) string { return engines[i].address() })
	for i, e := range engines {
		e.setHooks(func() { f.reported(e, s.sidecars[i]) }, func() { f.ordered(e) })
	}
	s.awaitReady()
	stop := s.streamClients(24, weights.Model)
	time.Sleep(2 * time.Second)
	for version := int64(2); version < 2+bumps && len(breaksOf(engines)) == 0; version++ {
		s.logf("version %d is named", version)
		s.store.SetTargetVersion(weights.Model, version)
		time.Sleep(bumpEvery)
	}
	whole := stop()
	fmt.Printf("%d whole streams\n", whole)
	if whole == 0 {
		panic("no stream was served")
	}
	return breaksOf(engines)
}
