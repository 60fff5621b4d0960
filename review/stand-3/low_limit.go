//go:build review

package main

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

// The case of a runner in need that states a low Server-Limit for longer than a minute.
const (
	limitGateways     = 9
	limitRunners      = 3
	limitInterval     = 40 * time.Millisecond // between two requests of one gateway's clients: 25 a second
	limitWork         = 60 * time.Millisecond
	limitPerSecond    = 0.05
	limitBegins       = 5 * time.Second
	limitPlay         = 95 * time.Second
	stableTime        = 3 * time.Second
	passedOnBefore    = 500 * time.Millisecond
	limitWindow       = 4 * time.Second
	limitFactor       = 1.5
	limitTolerance    = 5
	limitDeadlineMs   = 1500
	limitObjectiveMs  = 300
	limitServiceSlots = 6
)

// arrival is a request that reached the runner in need.
type arrival struct {
	at      time.Time
	gateway string
}

// needyRunner is a runner that states its limit in all its answers once it is in need.
type needyRunner struct {
	*platformtest.Runner
	record *record

	mu       sync.Mutex
	namedAt  time.Time // when it first named the limit
	arrivals []arrival
}

func (n *needyRunner) serve(w http.ResponseWriter, run platformtest.Run) {
	n.mu.Lock()
	name, _, _ := strings.Cut(run.ID, ".")
	n.arrivals = append(n.arrivals, arrival{at: run.StartedAt, gateway: name})
	n.mu.Unlock()
	n.record.line("runner %s runs %s", n.ID, run.ID)
	time.Sleep(limitWork)
	n.Reply(w, run, http.StatusOK, "answer to "+run.ID)
}

func playLowLimit(r *record, trouble bool) (bool, error) {
	s, err := newSystem(r)
	if err != nil {
		return false, err
	}
	defer s.close()
	s.config = platformtest.Configuration{
		Version:  1,
		Routes:   []platformtest.Route{{Name: "read", Kind: "safe", Service: "ledger-app", TimeoutMs: limitDeadlineMs, MaxAttempts: 2, ObjectiveMs: limitObjectiveMs}},
		Services: []string{"ledger-app"},
		Keys:     []string{clientKey},
	}
	s.store.Configure(s.config)
	var needy *needyRunner
	for i := range limitRunners {
		runner := platformtest.NewRunner("i-ledger-" + strconv.Itoa(i))
		defer runner.Close()
		runner.RegisteredSlots = limitServiceSlots
		if i == 0 {
			needy = &needyRunner{Runner: runner, record: r}
			runner.SetHandler(needy.serve)
		} else {
			runner.SetHandler(func(w http.ResponseWriter, run platformtest.Run) {
				time.Sleep(limitWork)
				runner.Reply(w, run, http.StatusOK, "answer to "+run.ID)
			})
		}
		s.store.Register(runner, "ledger-app", zone, "ready", "", 0)
	}
	gateways, err := s.startGateways(limitGateways)
	if err != nil {
		return false, err
	}
	ctx, stop := context.WithTimeout(context.Background(), limitPlay)
	defer stop()
	passedOn := passOns{first: make(map[string]time.Time)}
	var clients sync.WaitGroup
	for _, g := range gateways {
		clients.Add(1)
		go func() {
			defer clients.Done()
			next := func() request { return request{method: http.MethodGet, path: "/read/1", deadlineMs: limitDeadlineMs} }
			newClient(r, g).every(ctx, limitInterval, next, func(a answer) {
				r.line("client got %d for %s, limit %q, error %v", a.status, a.id, a.header.Get(platformtest.HeaderRate), a.err)
				if a.header.Get(platformtest.HeaderRate) != "" {
					passedOn.note(g.name, a.at)
				}
			})
		}()
	}
	if trouble {
		time.AfterFunc(limitBegins, func() {
			needy.mu.Lock()
			needy.namedAt = time.Now()
			needy.mu.Unlock()
			needy.SetRate(limitPerSecond)
			r.line("runner %s states Server-Limit %v from now on", needy.ID, limitPerSecond)
		})
	}
	clients.Wait()
	return needy.isLimitBroken(r, &passedOn), nil
}

// passOns holds when each gateway first passed on an answer that states the limit.
type passOns struct {
	mu    sync.Mutex
	first map[string]time.Time
}

func (p *passOns) note(gateway string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.first[gateway].IsZero() {
		p.first[gateway] = at
	}
}

// bound reports whether the gateway had passed on an answer with the limit half a second before the time.
func (p *passOns) bound(gateway string, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.first[gateway]
	return !first.IsZero() && at.Sub(first) >= passedOnBefore
}

// isLimitBroken checks LIMIT in all windows that begin with an arrival.
func (n *needyRunner) isLimitBroken(r *record, passedOn *passOns) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.printf("%d requests reached runner %s", len(n.arrivals), n.ID)
	if n.namedAt.IsZero() {
		return false
	}
	allowed := limitFactor*limitPerSecond*limitWindow.Seconds() + limitTolerance
	most, mostAt := 0, time.Time{}
	for i, begin := range n.arrivals {
		if begin.at.Sub(n.namedAt) < stableTime {
			continue
		}
		count := 0
		for _, a := range n.arrivals[i:] {
			if a.at.Sub(begin.at) < limitWindow && passedOn.bound(a.gateway, a.at) {
				count++
			}
		}
		if count > most {
			most, mostAt = count, begin.at
		}
	}
	if most > 0 {
		r.printf("most arrivals in %v: %d, from %.1f s after the limit was first named; allowed are %.1f", limitWindow, most, mostAt.Sub(n.namedAt).Seconds(), allowed)
	}
	return float64(most) > allowed
}
