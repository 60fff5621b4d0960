package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	firstFaultDelay   = 300 * time.Millisecond
	minFaultGap       = 100 * time.Millisecond
	maxFaultGap       = 700 * time.Millisecond
	minFaultDuration  = 200 * time.Millisecond
	maxFaultDuration  = 3500 * time.Millisecond
	restartDelay      = 300 * time.Millisecond
	slowStoreDelay    = 300 * time.Millisecond
	sparseGapFactor   = 4 // times as long as others, in every second seed, so that bounds are tested while all is calm
	corruptChunkCount = 5
	entryReturnDelay  = time.Second // after the store's own return, as of live back ends
)

// fault is something that a soak does to the world. What it begins, it ends when the time has passed.
type fault struct {
	name string
	run  func(s *system, pick int, duration time.Duration)
}

// faults lists what a soak draws from. Several run at once.
var faults = []fault{
	{"gateway killed", func(s *system, pick int, _ time.Duration) { s.restart(s.gateways, pick, syscall.SIGKILL) }},
	{"gateway stopped", func(s *system, pick int, _ time.Duration) { s.restart(s.gateways, pick, syscall.SIGTERM) }},
	{"gateway paused", func(s *system, pick int, duration time.Duration) { s.pause(s.gateways, pick, duration) }},
	{"sidecar killed", func(s *system, pick int, _ time.Duration) { s.restart(s.sidecars, pick, syscall.SIGKILL) }},
	{"sidecar stopped", func(s *system, pick int, _ time.Duration) { s.restart(s.sidecars, pick, syscall.SIGTERM) }},
	{"sidecar paused", func(s *system, pick int, duration time.Duration) { s.pause(s.sidecars, pick, duration) }},
	{"way to the store disturbed", (*system).disturbStoreConnection},
	{"way to an engine disturbed", func(s *system, pick int, duration time.Duration) {
		s.disturbBackendConnection(s.engines, pick, duration)
	}},
	{"way to a back end disturbed", func(s *system, pick int, duration time.Duration) {
		s.disturbBackendConnection(s.plainBackends, pick, duration)
	}},
	{"store away", (*system).makeStoreUnavailable},
	{"store slow", (*system).slowDownStore},
	{"store forgets its history", func(s *system, _ int, _ time.Duration) { s.store.ForgetHistory() }},
	{"back ends misbehave", (*system).makeBackendsFaulty},
	{"origin disturbed", (*system).disturbOrigin},
	{"staged pieces spoilt", (*system).corruptStagedWeights},
	{"version named", func(s *system, _ int, _ time.Duration) { s.publishVersion() }},
	{"route moved", func(s *system, _ int, _ time.Duration) { s.moveRoute() }},
	{"key taken away", func(s *system, _ int, _ time.Duration) { s.revokeKey() }},
	{"key taken away behind a gateway's back", (*system).revokeKeyDuringPartition},
	{"failure domain evacuated", (*system).evacuate},
	{"back end replaced", func(s *system, pick int, _ time.Duration) { s.replacePlainBackend(pick) }},
}

// injectFaults runs faults, drawn by the seed, until the time has passed, and returns when all have ended.
func (s *system) injectFaults(length time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	end := time.Now().Add(length)
	time.Sleep(firstFaultDelay)
	for time.Now().Before(end) {
		drawn := faults[s.faultRandom.IntN(len(faults))]
		pick := s.faultRandom.IntN(1 << 16)
		duration := minFaultDuration + time.Duration(s.faultRandom.Int64N(int64(maxFaultDuration-minFaultDuration)))
		gap := s.gapFactor * (minFaultGap + time.Duration(s.faultRandom.Int64N(int64(maxFaultGap-minFaultGap))))
		s.t.Logf("%6.2f s: %s (%d, %v)", time.Since(s.started).Seconds(), drawn.name, pick, duration)
		running.Go(func() { drawn.run(s, pick, duration) })
		time.Sleep(gap)
	}
}

// restart ends the process and starts it again. One that is being restarted is left alone.
func (s *system) restart(nodes []*node, pick int, signal syscall.Signal) {
	n := nodes[pick%len(nodes)]
	if !n.disruptionMu.TryLock() {
		return
	}
	defer n.disruptionMu.Unlock()
	defer s.disruptions.begin(n.name)()
	n.signal(syscall.SIGCONT)
	n.stop(signal)
	time.Sleep(restartDelay)
	n.start()
}

func (s *system) pause(nodes []*node, pick int, duration time.Duration) {
	n := nodes[pick%len(nodes)]
	if !n.disruptionMu.TryLock() {
		return
	}
	defer n.disruptionMu.Unlock()
	defer s.disruptions.begin(n.name)()
	n.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	n.signal(syscall.SIGCONT)
}

// disturbStoreConnection disturbs the way of one process to the store.
func (s *system) disturbStoreConnection(pick int, duration time.Duration) {
	nodes := slices.Concat(s.gateways, s.sidecars)
	n := nodes[pick%len(nodes)]
	defer s.disruptions.begin(n.name)()
	drawn := proxyMode(1 + pick/len(nodes)%int(modeCount-1))
	s.t.Logf("%6.2f s: %s's way to the store: %s", time.Since(s.started).Seconds(), n.name, modeNames[drawn])
	n.storeProxy.setMode(drawn)
	time.Sleep(duration)
	n.storeProxy.setMode(passThrough)
}

// disturbBackendConnection disturbs the way of all processes to one back end. It excuses nothing: at most once, whole answers and
// true refusals hold whatever the network does.
func (s *system) disturbBackendConnection(backends []*backend, pick int, duration time.Duration) {
	b := backends[pick%len(backends)]
	drawn := proxyMode(1 + pick/len(backends)%int(modeCount-1))
	s.t.Logf("%6.2f s: the way to %s: %s", time.Since(s.started).Seconds(), b.ID, modeNames[drawn])
	b.proxy.setMode(drawn)
	time.Sleep(duration)
	b.proxy.setMode(passThrough)
}

// makeStoreUnavailable makes the store refuse all calls. Entries of some back ends lapse meanwhile and are back soon after.
func (s *system) makeStoreUnavailable(pick int, duration time.Duration) {
	s.storeOutage.Lock()
	defer s.storeOutage.Unlock()
	defer s.disruptions.begin(allProcesses)()
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}
	s.store.Fail(statuses[pick%len(statuses)])
	time.Sleep(duration)
	var expired *backend
	if pick%3 == 0 {
		expired = s.engines[pick%engineCount]
		expired.entryExpired.Store(true)
		s.store.Lapse(expired.Runner)
	}
	s.store.Fail(0)
	if expired != nil {
		time.Sleep(entryReturnDelay)
		expired.entryExpired.Store(false)
	}
}

func (s *system) slowDownStore(_ int, duration time.Duration) {
	defer s.disruptions.begin(allProcesses)()
	s.store.Slow(slowStoreDelay)
	time.Sleep(duration)
	s.store.Slow(0)
}

func (s *system) makeBackendsFaulty(_ int, duration time.Duration) {
	s.backendsFaulty.Store(true)
	time.Sleep(duration)
	s.backendsFaulty.Store(false)
}

func (s *system) disturbOrigin(pick int, duration time.Duration) {
	if pick%2 == 0 {
		s.origin.Spoil(corruptChunkCount)
		return
	}
	defer s.disruptions.begin(allProcesses)() // a version cannot be had meanwhile
	s.origin.SetAway(true)
	time.Sleep(duration)
	s.origin.SetAway(false)
}

// corruptStagedWeights names a version and, while it may lie staged, spoils what does.
func (s *system) corruptStagedWeights(_ int, duration time.Duration) {
	s.publishVersion()
	time.Sleep(duration)
	for _, b := range s.engines {
		b.engine.Spoil()
	}
}

func (s *system) publishVersion() {
	s.mu.Lock()
	s.newestVersion++
	number := s.newestVersion
	s.mu.Unlock()
	s.performWrite("named", testWeights.Model, number, func() { s.store.Name(testWeights.Model, number) })
}

// reconfigure writes a changed configuration.
func (s *system) reconfigure(change func(*platformtest.Configuration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Version += 3
	change(&s.config)
	s.store.Configure(s.config)
}

// moveRoute leads the route to the next service. No service comes twice, so that what ran shows which configuration was
// in force.
func (s *system) moveRoute() {
	s.storeOutage.RLock()
	defer s.storeOutage.RUnlock()
	s.reconfigure(func(c *platformtest.Configuration) {
		if s.moveNumber+1 >= movingBackendCount {
			return
		}
		s.moveNumber++
		c.Routes = slices.Clone(c.Routes)
		c.Routes[len(c.Routes)-1].Service = fmt.Sprintf("move-%d", s.moveNumber)
	})
	s.recordWrite("moved", "moving", int64(s.moveNumber))
}

func (s *system) revokeKey() {
	s.storeOutage.RLock()
	defer s.storeOutage.RUnlock()
	revoked := ""
	s.reconfigure(func(c *platformtest.Configuration) {
		if last := len(c.Keys) - 1; last > 0 {
			revoked = c.Keys[last]
			c.Keys = slices.Clone(c.Keys[:last])
		}
	})
	s.recordWrite("revoked", revoked, 0)
}

// revokeKeyDuringPartition cuts a gateway that reads for the others off from the store, and takes a key away.
func (s *system) revokeKeyDuringPartition(pick int, duration time.Duration) {
	n := s.gateways[pick%(gatewayCount-1)]
	defer s.disruptions.begin(n.name)()
	n.storeProxy.setMode(silent)
	time.Sleep(minFaultDuration)
	s.revokeKey()
	time.Sleep(revocationBound + duration)
	n.storeProxy.setMode(passThrough)
}

func (s *system) evacuate(pick int, duration time.Duration) {
	if !s.evacuationMu.TryLock() {
		return
	}
	defer s.evacuationMu.Unlock()
	domain := string(failureDomains[pick%len(failureDomains)])
	s.performWrite("evacuated", domain, 0, func() { s.store.Evacuate(domain, true) })
	time.Sleep(duration + evacuationBound + settleTime)
	s.recordWrite("back", domain, 0) // before it is written: requests may go there from then on
	s.store.Evacuate(domain, false)
}

// replacePlainBackend starts another back end, and then drains one and ends it.
func (s *system) replacePlainBackend(pick int) {
	if !s.replacementMu.TryLock() {
		return
	}
	defer s.replacementMu.Unlock()
	place := pick % plainBackendCount
	s.replacements++
	old := s.plainBackends[place]
	r := platformtest.NewRunner(fmt.Sprintf("plain-%d-%d", place, s.replacements))
	replacement := s.addBackend(r, nil, s.ip(150+s.replacements), "plain", place)
	time.Sleep(entryReturnDelay)
	s.performWrite("drained", old.ID, 0, func() { s.register(old, "draining") })
	time.Sleep(drainBound + entryReturnDelay)
	s.store.Lapse(old.Runner)
	s.plainBackends[place] = replacement
	old.proxy.setMode(refused)
}
