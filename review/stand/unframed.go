//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

func init() { cases["unframed-stream"] = unframedStream }

// unframedStream: some answers of runners have no length and end with their connection, and runners crash. A client must not see the
// end of a stream whose last event it did not get.
func unframedStream(s *system) []string {
	const (
		engineCount   = 6
		unframedEvery = 20                      // x = 0.05 of the answers
		unframedTime  = 5 * time.Second         // for_s
		downTime      = 4500 * time.Millisecond // for_s of the crash
		rounds        = 8
		clients       = 72
	)
	weights := platformtest.Weights{Model: "daka510000", Chunks: 48, ChunkBytes: 49152}
	s.store.Put("op", "config", configuration(1, weights, "", []map[string]any{streamRoute()}))
	var engines []*runner
	for i := range engineCount {
		engines = append(engines, s.newRunner(fmt.Sprintf("m%d", i), "models", zones[i%len(zones)], s.sideIP(i), weights.Model))
	}
	s.startGateways(3)
	s.startSidecars(engineCount, func(i int) string { return engines[i].address() })
	s.awaitReady()
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var breaks []string
	stopClients := make(chan struct{})
	var running sync.WaitGroup
	whole, refused := 0, 0
	for c := range clients {
		running.Go(func() {
			client := newClient(7 * time.Second)
			for {
				select {
				case <-stopClients:
					return
				case <-time.After(time.Duration(rand.IntN(200)) * time.Millisecond):
				}
				total := 14 + rand.IntN(20)
				a := s.send(client, (c+rand.IntN(3))%3, "POST", "/stream/2f", []byte(`{"q":1}`), streamHeader(weights.Model, total))
				mu.Lock()
				switch {
				case a.status != 200 || !a.complete:
					refused++
				case isWhole(a.events(), total):
					whole++
				default:
					breaks = append(breaks, fmt.Sprintf("ORDER: attempt %s ended as complete with events %v of %d; runs: %+v", a.attempt, a.events(), total, lastLines(runsOf(a.attempt))))
				}
				mu.Unlock()
			}
		})
	}
	broken := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(breaks) > 0
	}
	for round := 0; round < rounds && !broken(); round++ {
		time.Sleep(4 * time.Second)
		order := rand.Perm(engineCount)
		affected := order[:engineCount/2] // share 0.5
		for _, i := range affected {
			s.logf("runner m%d: one in %d answers is unframed", i, unframedEvery)
			engines[i].setUnframed(unframedEvery)
		}
		time.Sleep(unframedTime / 2)
		victim := engines[affected[0]] // share 0.17 of six
		if s.trouble {
			s.logf("runner %s crashes", victim.name)
			victim.kill()
		}
		time.Sleep(unframedTime / 2)
		for _, i := range affected {
			if !s.trouble || engines[i] != victim {
				engines[i].setUnframed(0)
			}
		}
		time.Sleep(downTime - unframedTime/2)
		if s.trouble {
			victim.start()
			s.logf("runner %s is back", victim.name)
		}
	}
	time.Sleep(time.Second)
	close(stopClients)
	running.Wait()
	s.logf("%d whole streams, %d refused or failed", whole, refused)
	fmt.Printf("%d whole streams, %d refused or failed\n", whole, refused)
	if whole == 0 {
		panic("no stream was served")
	}
	return breaks
}

// isWhole reports whether the ids are 1 to total, in order.
func isWhole(ids []int, total int) bool {
	for i, id := range ids {
		if id != i+1 {
			return false
		}
	}
	return len(ids) == total
}

// lastLines returns the first line and the last one of each run.
func lastLines(lines []runLine) []runLine {
	var kept []runLine
	for i, line := range lines {
		if line.What != "event" || i == len(lines)-1 || lines[i+1].Runner != line.Runner {
			kept = append(kept, line)
		}
	}
	return kept
}
