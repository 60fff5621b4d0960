//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// streamClients sends streams from as many clients until stop is called. It returns the number of whole streams.
func (s *system) streamClients(clients int, model string) (stop func() int) {
	stopClients := make(chan struct{})
	var running sync.WaitGroup
	var whole atomic.Int64
	for c := range clients {
		running.Go(func() {
			client := newClient(7 * time.Second)
			for {
				select {
				case <-stopClients:
					return
				case <-time.After(time.Duration(rand.IntN(300)) * time.Millisecond):
				}
				a := s.send(client, c%len(s.gateways), "POST", "/stream/2f", []byte(`{"q":1}`), streamHeader(model, 14+rand.IntN(10)))
				if a.status == 200 && a.complete {
					whole.Add(1)
				}
			}
		})
	}
	return func() int {
		close(stopClients)
		running.Wait()
		return int(whole.Load())
	}
}

// streamHeader returns the header of a request for a stream of as many events.
func streamHeader(model string, events int) map[string]string {
	return map[string]string{
		"X-Deadline-Ms": "6000", "X-Model": model, "X-Token-Usage": fmt.Sprintf("600,%d", events*eventTokens),
		"X-Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%08x:560", rand.Uint32()),
	}
}
