package soak

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	minSilence    = 800 * time.Millisecond
	maxSilence    = 1800 * time.Millisecond
	silenceGap    = 300 * time.Millisecond // between two silences of a back end
	reloadGap     = 60 * time.Millisecond  // between two SIGHUPs to a process
	changeGap     = 40 * time.Millisecond  // between two changes of the configuration
	stopGap       = 700 * time.Millisecond // between the SIGTERMs to two gateways
	signalMinAge  = time.Second            // of a process, so that it handles SIGHUP
	longTimeoutMs = 6000                   // alternates with the timeout of the routes
	fewAttempts   = 2                      // alternates with the attempts of the routes
)

// plannedWork lists what a sound system goes through: no answer may be lost for it.
var plannedWork = []fault{
	{"plain back ends fall silent", func(s *system, pick int, duration time.Duration) {
		s.silence(s.currentPlainBackends(), pick, duration)
	}},
	{"engines fall silent", func(s *system, pick int, duration time.Duration) { s.silence(s.engines, pick, duration) }},
	{"gateways reload their settings", func(s *system, pick int, duration time.Duration) { s.reload(s.gateways, pick, duration) }},
	{"sidecars reload their settings", func(s *system, pick int, duration time.Duration) { s.reload(s.sidecars, pick, duration) }},
	{"gateways stopped one after another", func(s *system, pick int, _ time.Duration) { s.stopInTurn(s.gateways, pick) }},
	{"storm of changes", (*system).changeOften},
}

// plannedSchedule injects planned work alone, so that few requests are exempt from the check for lost answers.
var plannedSchedule = schedule{
	openings: []fault{{"everything at once", func(s *system, pick int, duration time.Duration) {
		var running sync.WaitGroup
		defer running.Wait()
		for _, f := range plannedWork {
			running.Go(func() { f.run(s, pick, duration) })
		}
	}}},
	faults: append(slices.Clone(plannedWork),
		fault{"gateway stopped", func(s *system, pick int, _ time.Duration) { s.restart(s.gateways, pick, syscall.SIGTERM) }},
		fault{"sidecar stopped", func(s *system, pick int, _ time.Duration) { s.restart(s.sidecars, pick, syscall.SIGTERM) }},
		fault{"back end replaced", func(s *system, pick int, _ time.Duration) { s.replacePlainBackend(pick) }},
		fault{"route moved", func(s *system, _ int, _ time.Duration) { s.moveRoute() }},
		fault{"back ends faulty", (*system).makeBackendsFaulty},
	),
}

// Answers are lost beside planned work: endpoints that are silent for a second or so, SIGHUPs, planned stops, and changes.
func TestPlannedWorkLosesNoAnswers(t *testing.T) {
	for _, seed := range shortSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed, shortFaultDuration, plannedSchedule) })
	}
}

// TestPlannedWorkWithFreshSeeds runs the seeds that the flags select.
func TestPlannedWorkWithFreshSeeds(t *testing.T) { runFreshSeeds(t, plannedSchedule) }

// silence makes one of the back ends or, for odd picks, all of them fall silent again and again for the given time.
func (s *system) silence(backends []*backend, pick int, duration time.Duration) {
	first := pick / 2 % len(backends)
	chosen := backends[first : first+1]
	if pick%2 == 1 {
		chosen = backends
	}
	end := time.Now().Add(duration)
	var running sync.WaitGroup
	defer running.Wait()
	for i, b := range chosen {
		running.Go(func() {
			for number := i; time.Now().Before(end); number++ {
				b.fallSilent(minSilence + time.Duration(pick+number*387)*time.Millisecond%(maxSilence-minSilence))
				time.Sleep(silenceGap)
			}
		})
	}
}

// fallSilent lets the back end send nothing for the given time. It does nothing if it is silent already.
func (b *backend) fallSilent(duration time.Duration) {
	if !b.silenceMu.TryLock() {
		return
	}
	defer b.silenceMu.Unlock()
	over := make(chan struct{})
	b.silence.Store(&over)
	time.Sleep(duration)
	close(over)
}

// waitForSilence returns when the back end is not silent.
func (b *backend) waitForSilence() {
	if over := b.silence.Load(); over != nil {
		<-*over
	}
}

// reload sends SIGHUPs to one of the processes or, for odd picks, to all of them for the given time.
func (s *system) reload(nodes []*node, pick int, duration time.Duration) {
	first := pick / 2 % len(nodes)
	chosen := nodes[first : first+1]
	if pick%2 == 1 {
		chosen = nodes
	}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(reloadGap) {
		for _, n := range chosen {
			n.signalIfOlder(syscall.SIGHUP, signalMinAge)
		}
	}
}

// stopInTurn stops and restarts the processes in turn; each stop begins before the last one is over.
func (s *system) stopInTurn(nodes []*node, pick int) {
	var running sync.WaitGroup
	defer running.Wait()
	for i := range nodes {
		running.Go(func() { s.restart(nodes, pick+i, syscall.SIGTERM) })
		time.Sleep(stopGap)
	}
}

// changeOften changes the timeouts and attempts of all routes again and again for the given time.
func (s *system) changeOften(_ int, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(changeGap) {
		s.storeOutage.RLock()
		s.reconfigure(func(c *platformtest.Configuration) {
			c.Routes = slices.Clone(c.Routes)
			for i := range c.Routes {
				c.Routes[i].TimeoutMs = routeTimeoutMs + longTimeoutMs - c.Routes[i].TimeoutMs
				c.Routes[i].MaxAttempts = routeAttempts + fewAttempts - c.Routes[i].MaxAttempts
			}
		})
		s.storeOutage.RUnlock()
	}
}
