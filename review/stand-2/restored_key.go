//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	takenKey     = "key-that-is-taken-away"
	revokeTime   = 5 * time.Second // within which a key that was taken away must stop working
	beforeDrill  = 6 * time.Second // from the acknowledgement of the configuration without the key to the drill
	storeAway    = 500 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	rewriteDelay = time.Second // from the return of the store until the operator has written again
	probeTime    = 4 * time.Second
	probeGap     = 50 * time.Millisecond
)

// plainRunner is a stand-in of a plain runner that answers all requests.
type plainRunner struct {
	fleet *fleet
	id    string

	mu   sync.Mutex
	runs map[string]bool
}

// ServeHTTP implements http.Handler.
func (p *plainRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platformtest.HeaderAttempt)
	w.Header().Set(platformtest.HeaderAttempt, id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mu.Lock()
	p.runs[id] = true
	p.mu.Unlock()
	p.fleet.record.add("runner: runs %s of tenant %s", id, r.Header.Get(platformtest.HeaderWorkspace))
	w.Header().Set(platformtest.HeaderSignature, "seal-"+p.id)
	w.Header().Set("Content-Length", "2")
	_, _ = w.Write([]byte("ok")) // the caller may have left
}

// restoredKey checks the rule CONFIG on keys that were taken away. With trouble, the store comes back from a copy that is older than the
// configuration without the key, and the gateway with the number is killed and started again meanwhile. The first two are seeds.
func restoredKey(f *fleet, trouble bool, killed int) (bool, error) {
	const gateways, seedCount = 3, 2
	configuration := platformtest.Configuration{
		Version:  1,
		Routes:   []platformtest.Route{{Name: "lookup", Kind: "safe", Service: "bookings", TimeoutMs: 800, MaxAttempts: 2, ObjectiveMs: 300}},
		Services: []string{"bookings"}, Keys: []string{clientKey, takenKey},
	}
	f.store.Configure(configuration)
	runner := &plainRunner{fleet: f, id: "i-2c9e04b1", runs: make(map[string]bool)}
	address := fmt.Sprintf("%s:%d", f.ip(100), f.ports.engine)
	listener, err := listen(address)
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(listener, runner) }() // until the end of this process
	row := platformtest.EndpointRow{Service: "bookings", Address: address, Zone: zones[0], State: "ready", Slots: 16, StartedAt: time.Now()}
	f.store.Put("servers", runner.id, row.String())
	var seeds []string
	for i := range seedCount {
		seeds = append(seeds, f.controlAddress(i))
	}
	for i := range gateways {
		if err := f.startGateway(i, seeds); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(gateways); err != nil {
		return false, err
	}
	c := &clients{fleet: f}
	for i := range gateways {
		c.send(request{id: fmt.Sprintf("before-%d", i), method: "GET", route: "lookup", key: takenKey, gateway: i, deadline: time.Second})
	}
	c.running.Wait()
	for _, o := range c.all() {
		if o.status != http.StatusOK {
			return false, fmt.Errorf("the key is refused before it is taken away: %d %v", o.status, o.err)
		}
	}
	time.Sleep(time.Second)
	backup := f.store.Copy()
	configuration.Version, configuration.Keys = 2, []string{clientKey}
	f.store.Configure(configuration)
	acknowledged := time.Now()
	f.record.add("operator: version 2 without the key is acknowledged")
	time.Sleep(beforeDrill)
	if trouble {
		go f.drill(backup, configuration, func() { f.store.Put("servers", runner.id, row.String()) })
		f.signal(fmt.Sprintf("edge-%d", killed), syscall.SIGKILL)
		time.AfterFunc(restartDelay, func() {
			if err := f.startGateway(killed, seeds); err != nil {
				f.record.add("edge-%d does not start: %v", killed, err)
			}
		})
	}
	for number := 0; time.Since(acknowledged) < beforeDrill+probeTime; number++ {
		c.send(request{id: fmt.Sprintf("taken-%d", number), method: "GET", route: "lookup", key: takenKey, gateway: number % gateways, deadline: time.Second})
		time.Sleep(probeGap)
	}
	c.running.Wait()
	runner.mu.Lock()
	defer runner.mu.Unlock()
	late, sent := 0, 0
	for _, o := range c.all() {
		if !strings.HasPrefix(o.id, "taken") || o.sentAt.Before(acknowledged.Add(revokeTime)) {
			continue
		}
		sent++
		if runner.runs[o.id] {
			late++
			f.record.add("%s ran: sent %v after the key was taken away, by edge-%d", o.id, o.sentAt.Sub(acknowledged).Round(time.Millisecond), o.gateway)
		}
	}
	f.record.tell("%d of %d requests that were sent with the key over %v after it was taken away have run; the rule allows none", late, sent, revokeTime)
	return late > 0, nil
}

// drill takes the store away and lets it come back from the copy. The operator and the runners write again what they wrote.
func (f *fleet) drill(backup platformtest.Copy, configuration platformtest.Configuration, writeRunners func()) {
	f.record.add("store: away")
	f.store.SetFailStatus(http.StatusServiceUnavailable)
	time.Sleep(storeAway)
	f.store.Restore(backup)
	f.store.SetFailStatus(0)
	f.record.add("store: back from a copy, in a new era")
	time.Sleep(rewriteDelay)
	f.store.Configure(configuration)
	writeRunners()
	f.record.add("operator: has written version %d again", configuration.Version)
}
