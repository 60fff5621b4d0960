//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	statedRate     = 10.0 // requests a second that the runner names
	rateDuration   = 25 * time.Second
	sendInterval   = 8 * time.Millisecond // of all clients together
	passedOnBefore = 500 * time.Millisecond
	rateWindow     = 4 * time.Second
	rateFactor     = 1.5
	rateTolerance  = 5
	workTime       = 20 * time.Millisecond
)

// needyRunner is a stand-in of a plain runner that names its rate in all its answers.
type needyRunner struct {
	fleet *fleet
	id    string
	zone  string
	born  time.Time

	mu       sync.Mutex
	first    time.Time // when it first named its rate
	arrivals map[string]time.Time
}

func (n *needyRunner) start(address string) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	n.born, n.arrivals = time.Now(), make(map[string]time.Time)
	row := platformtest.EndpointRow{Service: "bookings", Address: address, Zone: n.zone, State: "ready", Slots: 16, StartedAt: n.born}
	n.fleet.store.Put("servers", n.id, row.String())
	go func() { _ = http.Serve(listener, n) }() // until the end of this process
	return nil
}

// ServeHTTP implements http.Handler.
func (n *needyRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platformtest.HeaderAttempt)
	_, _ = io.Copy(io.Discard, r.Body) // a broken body ends the request anyway
	w.Header().Set(platformtest.HeaderAttempt, id)
	w.Header().Set(platformtest.HeaderRate, strconv.FormatFloat(statedRate, 'f', -1, 64))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != n.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n.mu.Lock()
	if n.first.IsZero() {
		n.first = time.Now()
	}
	n.arrivals[id] = time.Now()
	n.mu.Unlock()
	n.fleet.record.add("runner %s: %s arrives", n.id, id)
	time.Sleep(workTime)
	w.Header().Set(platformtest.HeaderSignature, "seal-"+n.id)
	w.Header().Set("Content-Length", "2")
	_, _ = io.WriteString(w, "ok") // the caller may have left
}

// statedRates checks the rule LIMIT on a plain runner. With trouble, the machines were started one after another while others were
// replaced, so that the seeds in their settings differ: machine 0 is gone, and the later a machine was started, the newer its seeds.
func statedRates(f *fleet, trouble bool) (bool, error) {
	const gateways = 6 // machine 0 is not there
	f.store.Configure(platformtest.Configuration{
		Version:  1,
		Routes:   []platformtest.Route{{Name: "lookup", Kind: "safe", Service: "bookings", TimeoutMs: 800, MaxAttempts: 2, ObjectiveMs: 300}},
		Services: []string{"bookings"}, Keys: []string{clientKey},
	})
	var runners []*needyRunner
	for i, id := range []string{"i-7f3a91c2", "i-2c9e04b1", "i-b81d5f60"} {
		runner := &needyRunner{fleet: f, id: id, zone: zones[i]}
		if err := runner.start(fmt.Sprintf("%s:%d", f.ip(100+i), f.ports.engine)); err != nil {
			return false, err
		}
		runners = append(runners, runner)
	}
	seedsOf := func(machines ...int) (seeds []string) {
		for _, i := range machines {
			seeds = append(seeds, f.controlAddress(i))
		}
		return seeds
	}
	for i := 1; i < gateways; i++ {
		seeds := seedsOf(0, 1, 2)
		switch {
		case trouble && i >= 4:
			seeds = seedsOf(2, 3, 4)
		case trouble && i == 3:
			seeds = seedsOf(1, 2, 3)
		}
		f.record.add("edge-%d: seeds %s", i, strings.Join(seeds, " "))
		if err := f.startGateway(i, seeds); err != nil {
			return false, err
		}
	}
	for i := 1; i < gateways; i++ {
		if err := f.awaitReadyOf(i); err != nil {
			return false, err
		}
	}
	c := &clients{fleet: f}
	began := time.Now()
	for number := 0; time.Since(began) < rateDuration; number++ {
		time.Sleep(time.Until(began.Add(time.Duration(number) * sendInterval)))
		c.send(request{id: fmt.Sprintf("r-%d", number), method: "GET", route: "lookup", gateway: 1 + number%(gateways-1), deadline: 1500 * time.Millisecond})
	}
	c.running.Wait()
	if ended := f.ended(); len(ended) > 0 {
		return false, fmt.Errorf("processes have ended: %v", ended)
	}
	broken := false
	for _, runner := range runners {
		broken = runner.exceeded(c) || broken
	}
	return broken, nil
}

// exceeded reports whether the runner got more in some window than the rule allows, from machines that had passed on its rate.
func (n *needyRunner) exceeded(c *clients) bool {
	passedOn := make(map[int]time.Time) // when a machine first passed on an answer with the rate
	gatewayOf := make(map[string]int)
	for _, o := range c.all() {
		gatewayOf[o.id] = o.gateway
		if first, known := passedOn[o.gateway]; o.rate != "" && (!known || o.endedAt.Before(first)) {
			passedOn[o.gateway] = o.endedAt
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var counted []time.Time
	for id, at := range n.arrivals {
		first, known := passedOn[gatewayOf[id]]
		if known && at.After(first.Add(passedOnBefore)) && at.After(n.first.Add(stableTime)) {
			counted = append(counted, at)
		}
	}
	most := 0
	for _, from := range counted {
		within := 0
		for _, at := range counted {
			if since := at.Sub(from); since >= 0 && since < rateWindow {
				within++
			}
		}
		most = max(most, within)
	}
	allowed := int(rateFactor*statedRate*rateWindow.Seconds()) + rateTolerance
	n.fleet.record.tell("runner %s: %d requests; at most %d in %v, the rule allows %d", n.id, len(n.arrivals), most, rateWindow, allowed)
	return most > allowed
}
