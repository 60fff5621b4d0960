package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	gatewayCount = 3
	engineCount  = 3
	plainCount   = 2
	moveCount    = 4 // services that the route "moving" leads to, one after the other
	engineSlots  = 4
	clientCount  = 12

	frontPort   = 7100
	readyPort   = 7101
	controlPort = 7102
	storePort   = 7109 // each process reaches the store by a proxy of its own
	enginePort  = 7200
	firstPort   = 7201
	lastPort    = 7209

	revocation = 5 * time.Second // the bounds of the platform's pages
	version    = 8 * time.Second
	grace      = 8 * time.Second
	retryShare = 0.2
	heartbeat  = 300 * time.Millisecond
)

var domains = []core.FailureDomain{"east-a", "west-a"}

var pieces = platformtest.Weights{Model: "m", Chunks: 6, ChunkBytes: 8 << 10}

// world is the system as processes, before stand-ins of the platform.
type world struct {
	t       testing.TB
	random  *rand.Rand    // of the schedule of faults only
	gaps    time.Duration // factor of the time between faults
	network string
	folder  string
	started time.Time

	store  *platformtest.Store
	origin *platformtest.Origin

	gateways []*node
	sidecars []*node
	plains   []*backend
	movers   []*backend
	engines  []*backend

	mu      sync.Mutex
	config  platformtest.Configuration
	all     []*backend // those that were replaced too
	calm    *disruptions
	writes  []written
	serving sync.RWMutex // held while the store is away
	grey    atomic.Bool  // back ends reject, lose and cut answers
	named   int64        // newest version of the weights
	moved   int

	evacuating sync.Mutex // one failure domain at a time
	replacing  sync.Mutex // one back end at a time
	replaced   int

	requests journal
	probes   atomic.Int64
}

// node is a process of the system and its way to the store.
type node struct {
	*process
	store *proxy
	front string
	busy  sync.Mutex // held by a fault that stops or pauses it
}

// backend is a runner, with or without weights, behind a proxy.
type backend struct {
	*platformtest.Runner
	engine  *platformtest.Engine // nil for a plain one
	proxy   *proxy
	service string
	domain  core.FailureDomain
	lapsed  atomic.Bool // its entry is missing
}

// written is something that an operator or a back end wrote and that bounds what may follow.
type written struct {
	at     time.Time
	what   string // "drained", "evacuated", "back", "moved", "revoked" or "named"
	target string
	number int64
}

var nextNetwork atomic.Int64 // of this process; soaks run side by side

func newWorld(t testing.TB, seed uint64) *world {
	t.Helper()
	number := int(nextNetwork.Add(1)) + os.Getpid()*16
	w := &world{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 0)),
		gaps:    1,
		network: fmt.Sprintf("127.%d.%d", 20+number%200, number/200%250),
		folder:  t.TempDir(),
		started: time.Now(),
		store:   platformtest.NewStore(),
		origin:  platformtest.NewOrigin(pieces),
		calm:    newDisruptions(t),
		named:   1,
	}
	if seed%2 == 0 {
		w.gaps = sparseGaps
	}
	t.Cleanup(w.store.Close)
	t.Cleanup(w.origin.Close)
	t.Cleanup(w.keepLogs)
	w.startBackends()
	w.configure()
	w.startSystem()
	go w.heartbeat(t.Context())
	return w
}

func (w *world) ip(last int) string { return fmt.Sprintf("%s.%d", w.network, last) }

func (w *world) startBackends() {
	for i := range engineCount {
		e := platformtest.NewEngine(fmt.Sprintf("engine-%d", i), pieces, 1)
		w.engines = append(w.engines, w.addBackend(e.Runner, e, w.ip(50+i), "models", i))
	}
	for i := range plainCount {
		r := platformtest.NewRunner(fmt.Sprintf("plain-%d", i))
		w.plains = append(w.plains, w.addBackend(r, nil, w.ip(100+i), "plain", i))
	}
	for i := range moveCount {
		r := platformtest.NewRunner(fmt.Sprintf("mover-%d", i))
		w.movers = append(w.movers, w.addBackend(r, nil, w.ip(120+i), fmt.Sprintf("move-%d", i), i))
	}
}

// addBackend puts the back end behind a proxy, and registers it.
func (w *world) addBackend(r *platformtest.Runner, e *platformtest.Engine, ip, service string, place int) *backend {
	b := &backend{Runner: r, engine: e, service: service, domain: domains[place%len(domains)]}
	b.proxy = newProxy(w.t, fmt.Sprintf("%s:%d", ip, enginePort), r.Address())
	b.RegisteredAddress = b.proxy.address()
	w.t.Cleanup(r.Close)
	r.SetHandler(w.answer(b))
	w.mu.Lock()
	w.all = append(w.all, b)
	w.mu.Unlock()
	w.register(b, "ready")
	return b
}

func (w *world) register(b *backend, state string) {
	model, number := "", int64(0)
	if b.engine != nil {
		number = b.engine.Version()
		if number > 0 {
			model = pieces.Model
		}
	}
	w.store.Register(b.Runner, b.service, string(b.domain), state, model, number)
}

// heartbeat writes the entries of engines again and again, as they do themselves.
func (w *world) heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		for _, b := range w.engines {
			if !b.lapsed.Load() {
				w.register(b, "ready")
			}
		}
		time.Sleep(heartbeat)
	}
}

func (w *world) configure() {
	route := func(name, kind, service string) platformtest.Route {
		return platformtest.Route{Name: name, Kind: kind, Service: service, TimeoutMs: 4000, MaxAttempts: 3}
	}
	stream := route("stream", "stream", "models")
	stream.Resumable, stream.Generates = true, true
	w.config = platformtest.Configuration{
		Version:       1,
		Routes:        []platformtest.Route{route("once", "unsafe", "plain"), route("safe", "safe", "plain"), stream, route("moving", "safe", "move-0")},
		Services:      []string{"plain", "move-0", "move-1", "move-2", "move-3"},
		EngineService: "models",
		Slots:         engineSlots,
		Weights:       pieces,
		Origin:        w.origin.Address(),
		Keys:          []string{"kept", "taken-0", "taken-1", "taken-2"},
	}
	w.store.Configure(w.config)
}

func (w *world) startSystem() {
	regions := map[core.FailureDomain]core.Region{"east-a": "east", "west-a": "west"}
	var delegates []string
	for i := range gatewayCount - 1 {
		delegates = append(delegates, fmt.Sprintf("%s:%d", w.ip(10+i), controlPort))
	}
	place := func(ip string, i int, name string) settings.Place {
		domain := domains[i%len(domains)]
		return settings.Place{
			Host: core.HostID(name), FailureDomain: domain, Region: regions[domain], Regions: regions, Address: ip,
			StoreAddress: fmt.Sprintf("%s:%d", ip, storePort), Delegates: delegates, Ports: []int{firstPort, lastPort},
		}
	}
	for i := range gatewayCount {
		ip, name := w.ip(10+i), fmt.Sprintf("gateway-%d", i)
		front := fmt.Sprintf("%s:%d", ip, frontPort)
		config := settings.Gateway{
			Place: place(ip, i, name), FrontAddress: front, ReadyAddress: fmt.Sprintf("%s:%d", ip, readyPort), ControlAddress: fmt.Sprintf("%s:%d", ip, controlPort),
			GraceMs: millis(grace), RevocationMs: millis(revocation), VersionRolloutMs: millis(version), RetryRatio: retryShare,
		}
		w.gateways = append(w.gateways, w.addNode(ip, "lovage-gateway", name, front, config))
	}
	for i := range engineCount {
		ip, name := w.ip(50+i), fmt.Sprintf("sidecar-%d", i)
		config := settings.Sidecar{
			Place: place(ip, i, name), EngineAddress: w.engines[i].RegisteredAddress, Service: "models",
			GraceMs: millis(grace), VersionRolloutMs: millis(version), LinkMbps: 100,
		}
		w.sidecars = append(w.sidecars, w.addNode(ip, "lovage-sidecar", name, "", config))
	}
}

func millis(d time.Duration) settings.Millis { return settings.Millis(d.Milliseconds()) }

func (w *world) addNode(ip, binary, name, front string, config any) *node {
	store := newProxy(w.t, fmt.Sprintf("%s:%d", ip, storePort), w.store.Address())
	return &node{process: newProcess(w.t, w.folder, binary, name, config), store: store, front: front}
}

// write carries out an operator's or a back end's write once the store takes writes, as its writer would, and takes note
// of it.
func (w *world) write(what, target string, number int64, write func()) {
	w.serving.RLock()
	write()
	w.wrote(what, target, number)
	w.serving.RUnlock()
}

// wrote takes note of something that was written just now.
func (w *world) wrote(what, target string, number int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes = append(w.writes, written{at: time.Now(), what: what, target: target, number: number})
	w.t.Logf("%6.2f s: %s %s %d", time.Since(w.started).Seconds(), what, target, number)
}

// keepLogs copies the processes' logs of a failed soak out of the folder that ends with the test.
func (w *world) keepLogs() {
	if !w.t.Failed() {
		return
	}
	kept, err := os.MkdirTemp("", "lovage-soak")
	if err != nil {
		w.t.Log(err)
		return
	}
	if err := os.CopyFS(filepath.Join(kept, "logs"), os.DirFS(w.folder)); err != nil {
		w.t.Log(err)
	}
	w.t.Logf("logs are kept in %s", kept)
}
