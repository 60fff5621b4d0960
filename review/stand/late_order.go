//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

func init() { cases["late-order"] = lateOrder }

// lateOrder: a runner is cut off as an order to load is on its way, and the sidecar that sent it is killed. The order arrives after the
// cut, when the sidecar's successor stages a newer version. No token may be made with a mixture.
func lateOrder(s *system) []string {
	const (
		machines  = 7
		killAfter = time.Second
		nameAhead = 300 * time.Millisecond // of the end of the cut
		rounds    = 3
		pieceTime = 15 * time.Millisecond
		arrival   = 12600 * time.Millisecond // the order's sixth retransmission
	)
	weights := platformtest.Weights{Model: "daka510000", Chunks: 48, ChunkBytes: 49152}
	origin := platformtest.NewOrigin(weights)
	s.onClose = append(s.onClose, origin.Close)
	s.store.Put("op", "config", configuration(1, weights, origin.Address(), []map[string]any{streamRoute()}))
	s.store.SetTargetVersion(weights.Model, 1)
	var engines []*engine
	var proxies []*cutProxy
	for i := range machines {
		e := s.newEngineAt(i, weights, fmt.Sprintf("%s:%d", s.hiddenIP(i), runnerPort), pieceTime)
		engines = append(engines, e)
		proxies = append(proxies, newCutProxy(s, e.address(), e.listenAddress))
	}
	s.startGateways(3)
	s.startSidecars(machines, func(i int) string { return engines[i].address() })
	s.awaitReady()
	stop := s.streamClients(16, weights.Model)
	time.Sleep(2 * time.Second)
	version := int64(1)
	name := func() {
		version++
		s.logf("version %d is named", version)
		s.store.SetTargetVersion(weights.Model, version)
	}
	name() // version 2 shows in which order the engines load
	var orderMu sync.Mutex
	var ordered []int
	for i, e := range engines {
		e.setHooks(nil, func() {
			orderMu.Lock()
			defer orderMu.Unlock()
			ordered = append(ordered, i)
		})
	}
	time.Sleep(8 * time.Second)
	orderMu.Lock()
	earliest, latest := ordered[0], ordered[len(ordered)-1]
	orderMu.Unlock()
	name()
	time.Sleep(8 * time.Second)
	for round := 0; round < rounds && len(breaksOf(engines)) == 0; round++ {
		victim := latest // to load the even versions, and the first to load the odd ones
		if version%2 == 0 {
			victim = earliest
		}
		cutTime := arrival - []time.Duration{4000, 3800, 4200}[round]*time.Millisecond
		sidecar := s.sidecars[victim]
		over := make(chan struct{})
		if s.trouble {
			proxies[victim].cutAtOrder(cutTime, func() {
				s.logf("runner %s is cut off as an order is on its way", engines[victim].name)
				time.Sleep(killAfter)
				sidecar.kill()
				s.logf("sidecar of %s is killed", engines[victim].name)
				time.Sleep(500 * time.Millisecond)
				sidecar.start()
				time.Sleep(cutTime - killAfter - 500*time.Millisecond - nameAhead - 500*time.Millisecond)
				name()
				time.Sleep(500 * time.Millisecond)
				name()
				time.Sleep(nameAhead)
				s.logf("the cut of %s is over", engines[victim].name)
				close(over)
			})
		} else {
			time.AfterFunc(15*time.Second, func() { close(over) })
		}
		name()
		select {
		case <-over:
		case <-time.After(25 * time.Second):
			panic("no order was sent")
		}
		time.Sleep(4 * time.Second)
	}
	whole := stop()
	fmt.Printf("%d whole streams\n", whole)
	if whole == 0 {
		panic("no stream was served")
	}
	return breaksOf(engines)
}
