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
	firstFault   = 300 * time.Millisecond
	leastGap     = 100 * time.Millisecond
	mostGap      = 700 * time.Millisecond
	leastLasting = 200 * time.Millisecond
	mostLasting  = 3500 * time.Millisecond
	restartDelay = 300 * time.Millisecond
	slowStore    = 300 * time.Millisecond
	sparseGaps   = 4 // times as long as others, in every second seed, so that bounds are tested while all is calm
	spoiltPieces = 5
	lapseReturn  = time.Second // after the store's own return, as of live back ends
)

// fault is something that a soak does to the world. What it begins, it ends when the time has passed.
type fault struct {
	name string
	run  func(w *world, pick int, lasts time.Duration)
}

// faults lists what a soak draws from. Several run at once.
var faults = []fault{
	{"gateway killed", func(w *world, pick int, _ time.Duration) { w.restart(w.gateways, pick, syscall.SIGKILL) }},
	{"gateway stopped", func(w *world, pick int, _ time.Duration) { w.restart(w.gateways, pick, syscall.SIGTERM) }},
	{"gateway paused", func(w *world, pick int, lasts time.Duration) { w.pause(w.gateways, pick, lasts) }},
	{"sidecar killed", func(w *world, pick int, _ time.Duration) { w.restart(w.sidecars, pick, syscall.SIGKILL) }},
	{"sidecar stopped", func(w *world, pick int, _ time.Duration) { w.restart(w.sidecars, pick, syscall.SIGTERM) }},
	{"sidecar paused", func(w *world, pick int, lasts time.Duration) { w.pause(w.sidecars, pick, lasts) }},
	{"way to the store disturbed", (*world).disturbStoreLink},
	{"way to an engine disturbed", func(w *world, pick int, lasts time.Duration) { w.disturbBackend(w.engines, pick, lasts) }},
	{"way to a back end disturbed", func(w *world, pick int, lasts time.Duration) { w.disturbBackend(w.plains, pick, lasts) }},
	{"store away", (*world).storeAway},
	{"store slow", (*world).storeSlow},
	{"store forgets its history", func(w *world, _ int, _ time.Duration) { w.store.DropHistory() }},
	{"back ends misbehave", (*world).misbehave},
	{"origin disturbed", (*world).disturbOrigin},
	{"staged pieces spoilt", (*world).spoilStaged},
	{"version named", func(w *world, _ int, _ time.Duration) { w.nameVersion() }},
	{"route moved", func(w *world, _ int, _ time.Duration) { w.moveRoute() }},
	{"key taken away", func(w *world, _ int, _ time.Duration) { w.takeKey() }},
	{"key taken away behind a gateway's back", (*world).takeKeyUnseen},
	{"failure domain evacuated", (*world).evacuate},
	{"back end replaced", func(w *world, pick int, _ time.Duration) { w.replacePlain(pick) }},
}

// disturb runs faults, drawn by the seed, until the time has passed, and returns when all have ended.
func (w *world) disturb(length time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	end := time.Now().Add(length)
	time.Sleep(firstFault)
	for time.Now().Before(end) {
		drawn := faults[w.random.IntN(len(faults))]
		pick := w.random.IntN(1 << 16)
		lasts := leastLasting + time.Duration(w.random.Int64N(int64(mostLasting-leastLasting)))
		gap := w.gaps * (leastGap + time.Duration(w.random.Int64N(int64(mostGap-leastGap))))
		w.t.Logf("%6.2f s: %s (%d, %v)", time.Since(w.started).Seconds(), drawn.name, pick, lasts)
		running.Go(func() { drawn.run(w, pick, lasts) })
		time.Sleep(gap)
	}
}

// restart ends the process and starts it again. One that is being restarted is left alone.
func (w *world) restart(nodes []*node, pick int, signal syscall.Signal) {
	n := nodes[pick%len(nodes)]
	if !n.busy.TryLock() {
		return
	}
	defer n.busy.Unlock()
	defer w.calm.begin(n.name)()
	n.signal(syscall.SIGCONT)
	n.stop(signal)
	time.Sleep(restartDelay)
	n.start()
}

func (w *world) pause(nodes []*node, pick int, lasts time.Duration) {
	n := nodes[pick%len(nodes)]
	if !n.busy.TryLock() {
		return
	}
	defer n.busy.Unlock()
	defer w.calm.begin(n.name)()
	n.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	n.signal(syscall.SIGCONT)
}

// disturbStoreLink disturbs the way of one process to the store.
func (w *world) disturbStoreLink(pick int, lasts time.Duration) {
	nodes := slices.Concat(w.gateways, w.sidecars)
	n := nodes[pick%len(nodes)]
	defer w.calm.begin(n.name)()
	drawn := mode(1 + pick/len(nodes)%int(modes-1))
	w.t.Logf("%6.2f s: %s's way to the store: %s", time.Since(w.started).Seconds(), n.name, modeNames[drawn])
	n.store.set(drawn)
	time.Sleep(lasts)
	n.store.set(pass)
}

// disturbBackend disturbs the way of all processes to one back end. It excuses nothing: at most once, whole answers and
// true refusals hold whatever the network does.
func (w *world) disturbBackend(backends []*backend, pick int, lasts time.Duration) {
	b := backends[pick%len(backends)]
	drawn := mode(1 + pick/len(backends)%int(modes-1))
	w.t.Logf("%6.2f s: the way to %s: %s", time.Since(w.started).Seconds(), b.ID, modeNames[drawn])
	b.proxy.set(drawn)
	time.Sleep(lasts)
	b.proxy.set(pass)
}

// storeAway makes the store refuse all calls. Entries of some back ends lapse meanwhile and are back soon after.
func (w *world) storeAway(pick int, lasts time.Duration) {
	w.serving.Lock()
	defer w.serving.Unlock()
	defer w.calm.begin(everyone)()
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}
	w.store.SetFailStatus(statuses[pick%len(statuses)])
	time.Sleep(lasts)
	var lapsed *backend
	if pick%3 == 0 {
		lapsed = w.engines[pick%engineCount]
		lapsed.lapsed.Store(true)
		w.store.Unregister(lapsed.Runner)
	}
	w.store.SetFailStatus(0)
	if lapsed != nil {
		time.Sleep(lapseReturn)
		lapsed.lapsed.Store(false)
	}
}

func (w *world) storeSlow(_ int, lasts time.Duration) {
	defer w.calm.begin(everyone)()
	w.store.SetDelay(slowStore)
	time.Sleep(lasts)
	w.store.SetDelay(0)
}

func (w *world) misbehave(_ int, lasts time.Duration) {
	w.grey.Store(true)
	time.Sleep(lasts)
	w.grey.Store(false)
}

func (w *world) disturbOrigin(pick int, lasts time.Duration) {
	if pick%2 == 0 {
		w.origin.CorruptNext(spoiltPieces)
		return
	}
	defer w.calm.begin(everyone)() // a version cannot be had meanwhile
	w.origin.SetUnavailable(true)
	time.Sleep(lasts)
	w.origin.SetUnavailable(false)
}

// spoilStaged names a version and, while it may lie staged, spoils what does.
func (w *world) spoilStaged(_ int, lasts time.Duration) {
	w.nameVersion()
	time.Sleep(lasts)
	for _, b := range w.engines {
		b.engine.CorruptStaged()
	}
}

func (w *world) nameVersion() {
	w.mu.Lock()
	w.named++
	number := w.named
	w.mu.Unlock()
	w.write("named", pieces.Model, number, func() { w.store.SetTargetVersion(pieces.Model, number) })
}

// reconfigure writes a changed configuration.
func (w *world) reconfigure(change func(*platformtest.Configuration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Version += 3
	change(&w.config)
	w.store.Configure(w.config)
}

// moveRoute leads the route to the next service. No service comes twice, so that what ran shows which configuration was
// in force.
func (w *world) moveRoute() {
	w.serving.RLock()
	defer w.serving.RUnlock()
	w.reconfigure(func(c *platformtest.Configuration) {
		if w.moved+1 >= moveCount {
			return
		}
		w.moved++
		c.Routes = slices.Clone(c.Routes)
		c.Routes[len(c.Routes)-1].Service = fmt.Sprintf("move-%d", w.moved)
	})
	w.wrote("moved", "moving", int64(w.moved))
}

func (w *world) takeKey() {
	w.serving.RLock()
	defer w.serving.RUnlock()
	taken := ""
	w.reconfigure(func(c *platformtest.Configuration) {
		if last := len(c.Keys) - 1; last > 0 {
			taken = c.Keys[last]
			c.Keys = slices.Clone(c.Keys[:last])
		}
	})
	w.wrote("revoked", taken, 0)
}

// takeKeyUnseen cuts a gateway that reads for the others off from the store, and takes a key away.
func (w *world) takeKeyUnseen(pick int, lasts time.Duration) {
	n := w.gateways[pick%(gatewayCount-1)]
	defer w.calm.begin(n.name)()
	n.store.set(silent)
	time.Sleep(leastLasting)
	w.takeKey()
	time.Sleep(revocation + lasts)
	n.store.set(pass)
}

func (w *world) evacuate(pick int, lasts time.Duration) {
	if !w.evacuating.TryLock() {
		return
	}
	defer w.evacuating.Unlock()
	domain := string(domains[pick%len(domains)])
	w.write("evacuated", domain, 0, func() { w.store.SetEvacuated(domain, true) })
	time.Sleep(lasts + evacuationBound + settle)
	w.wrote("back", domain, 0) // before it is written: requests may go there from then on
	w.store.SetEvacuated(domain, false)
}

// replacePlain starts another back end, and then drains one and ends it.
func (w *world) replacePlain(pick int) {
	if !w.replacing.TryLock() {
		return
	}
	defer w.replacing.Unlock()
	place := pick % plainCount
	w.replaced++
	old := w.plains[place]
	r := platformtest.NewRunner(fmt.Sprintf("plain-%d-%d", place, w.replaced))
	fresh := w.addBackend(r, nil, w.ip(150+w.replaced), "plain", place)
	time.Sleep(lapseReturn)
	w.write("drained", old.ID, 0, func() { w.register(old, "draining") })
	time.Sleep(drainBound + lapseReturn)
	w.store.Unregister(old.Runner)
	w.plains[place] = fresh
	old.proxy.set(refused)
}
