//go:build review

package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// The case of streams that end with their connection, at an engine that falls silent after it, while a gateway is stopped as planned.
const (
	quietGateways = 2
	quietEngines  = 2
	quietInterval = 50 * time.Millisecond // between two requests of one gateway's clients
	quietUnframed = 20                    // one answer in so many has neither a length nor chunks
	quietTime     = time.Second
	quietStop     = 4 * time.Second // from the start of traffic until SIGTERM
	quietPlay     = 18 * time.Second
	planFor       = gracePeriod + time.Second // from SIGTERM on, in which LOST holds
)

func playQuietEnd(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r)
	if err != nil {
		return false, err
	}
	defer s.close()
	origin := platformtest.NewOrigin(standWeights)
	defer origin.Close()
	s.config = modelConfiguration(origin)
	s.store.Configure(s.config)
	engines, gateways, stop, err := s.startModels(quietGateways, quietEngines)
	if err != nil {
		return false, err
	}
	defer stop()
	begun := make(chan string)
	for _, e := range engines {
		e.mu.Lock()
		e.unframed, e.begunEndings = quietUnframed, begun
		if trouble {
			e.quietAfter = quietTime
		}
		e.mu.Unlock()
	}
	ctx, end := context.WithTimeout(context.Background(), quietPlay)
	defer end()
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	for _, g := range gateways {
		clients.Add(1)
		go func() {
			defer clients.Done()
			newClient(r, g).every(ctx, quietInterval, nextNote, func(a answer) {
				r.line("client got %d for %s, %d bytes, error %v", a.status, a.id, len(a.body), a.err)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}()
	}
	time.Sleep(quietStop)
	awaitUnframed(ctx, begun, gateways[0].name)
	stopped := time.Now()
	gateways[0].signal(syscall.SIGTERM)
	clients.Wait()
	return cutAtTheirEnd(r, gateways[0].name, engines, answers, stopped), nil
}

// awaitUnframed waits until an answer by the gateway has begun that will end with its connection.
func awaitUnframed(ctx context.Context, begun <-chan string, gateway string) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-begun:
			if strings.HasPrefix(id, gateway+".") {
				return
			}
		}
	}
}

// cutAtTheirEnd checks LOST for the answers by the gateway that was stopped: a runner had sent the whole answer, and the client's
// connection ended without its end, long before the deadline.
func cutAtTheirEnd(r *record, stoppedGateway string, engines []*engine, answers []answer, stopped time.Time) bool {
	lost, whole := 0, 0
	for _, a := range answers {
		if a.gateway != stoppedGateway || a.at.Before(stopped) || a.at.After(stopped.Add(planFor)) || a.status != http.StatusOK {
			continue
		}
		if a.err == nil {
			whole++
			continue
		}
		for _, e := range engines {
			if e.hasCompleted(a.id) && a.at.Sub(a.sentAt) < lateDeadlineMs*time.Millisecond/2 {
				lost++
				r.printf("%s: runner %s had sent the whole answer; the client's connection ended %.2f s after SIGTERM, %.2f s after the request: %v", a.id, e.id, a.at.Sub(stopped).Seconds(), a.at.Sub(a.sentAt).Seconds(), a.err)
			}
		}
	}
	r.printf("after SIGTERM the gateway passed on %d whole answers and broke off %d that were whole", whole, lost)
	return lost > 0
}
