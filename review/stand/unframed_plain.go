//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

func init() { cases["unframed-plain"] = unframedPlain }

// unframedPlain: some answers of a plain service's runners have no length and end with their connection, and runners crash. A client
// must not get a success with a part of the body that looks whole.
func unframedPlain(s *system) []string {
	const (
		runnerCount   = 6
		unframedEvery = 20                      // x = 0.05 of the answers
		unframedTime  = 5 * time.Second         // for_s
		downTime      = 4500 * time.Millisecond // for_s of the crash
		rounds        = 14
		clients       = 36
	)
	s.store.Put("op", "config", configuration(1, platformtest.Weights{Model: "daka510000", Chunks: 48, ChunkBytes: 49152}, "", []map[string]any{plainRoute("safe"), plainRoute("unsafe")}))
	var runners []*runner
	for i := range runnerCount {
		runners = append(runners, s.newRunner(fmt.Sprintf("p%d", i), "ledger", zones[i%len(zones)], s.plainIP(i), ""))
	}
	s.startGateways(3)
	s.awaitReady()
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var breaks []string
	stopClients := make(chan struct{})
	var running sync.WaitGroup
	whole, refused := 0, 0
	for c := range clients {
		running.Go(func() {
			client := newClient(2 * time.Second)
			for {
				select {
				case <-stopClients:
					return
				case <-time.After(time.Duration(rand.IntN(4)) * time.Millisecond):
				}
				path := []string{"/unsafe/2f", "/unsafe/2f", "/safe/2f"}[rand.IntN(3)]
				a := s.send(client, c%3, "POST", path, []byte(`{"q":1}`), map[string]string{"X-Deadline-Ms": "1500"})
				mu.Lock()
				switch {
				case a.status != 200 || !a.complete:
					refused++
				case len(a.body) == plainBytes:
					whole++
				default:
					breaks = append(breaks, fmt.Sprintf("MIXED: attempt %s of %s got a success, seal %v, with %d of %d bytes that looks whole; runs: %+v", a.attempt, path, a.sealed, len(a.body), plainBytes, runsOf(a.attempt)))
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
		affected := rand.Perm(runnerCount)[:runnerCount/2] // share 0.5
		for _, i := range affected {
			s.logf("runner p%d: one in %d answers is unframed", i, unframedEvery)
			runners[i].setUnframed(unframedEvery)
		}
		time.Sleep(unframedTime / 2)
		for _, i := range affected[1:] {
			runners[i].setUnframed(0)
		}
		victim := runners[affected[0]] // share 0.17 of six
		if !s.trouble {
			victim.setUnframed(0)
			continue
		}
		s.logf("runner %s crashes", victim.name)
		victim.kill()
		time.Sleep(downTime)
		victim.start()
		s.logf("runner %s is back", victim.name)
	}
	time.Sleep(500 * time.Millisecond)
	close(stopClients)
	running.Wait()
	s.logf("%d whole answers, %d refused or failed", whole, refused)
	fmt.Printf("%d whole answers, %d refused or failed\n", whole, refused)
	if whole == 0 {
		panic("no request was served")
	}
	return breaks
}
