package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/settings"
	"github.com/lovageglade/lovageglade/platform/platformtest"
)

const (
	gatewayCount       = 3
	engineCount        = 3
	plainBackendCount  = 2
	movingBackendCount = 4 // services that the route "moving" uses, one after another
	engineSlots        = 4
	clientCount        = 12
	routeTimeoutMs     = 4000
	routeAttempts      = 3

	frontPort   = 7100
	readyPort   = 7101
	controlPort = 7102
	storePort   = 7109 // each process reaches the store through its own proxy
	enginePort  = 7200
	firstPort   = 7201
	lastPort    = 7209

	revocationBound   = 5 * time.Second // time bound from the platform's documentation
	versionBound      = 8 * time.Second // likewise
	gracePeriod       = 8 * time.Second
	retryShare        = 0.2
	heartbeatInterval = 300 * time.Millisecond
)

var failureDomains = []core.FailureDomain{"east-a", "west-a"}

var testWeights = platformtest.Weights{Model: "m", Chunks: 6, ChunkBytes: 8 << 10}

// system is the system under test: its processes, and the platform's stand-ins that they use.
type system struct {
	t             testing.TB
	seed          uint64
	resources     settings.Resources // of each process
	faultRandom   *rand.Rand         // used only to draw faults
	gapFactor     time.Duration      // multiplies the time between faults
	networkPrefix string
	folder        string
	started       time.Time

	store  *platformtest.Store
	origin *platformtest.Origin

	gateways       []*node
	sidecars       []*node
	plainBackends  []*backend
	movingBackends []*backend
	engines        []*backend

	mu             sync.Mutex
	config         platformtest.Configuration
	allBackends    []*backend // including those that were replaced
	disruptions    *disruptions
	writes         []recordedWrite
	storeOutage    sync.RWMutex // locked for writing while the store is unavailable
	backendsFaulty atomic.Bool  // back ends reject, lose and truncate answers
	newestVersion  int64        // newest published version of the weights
	moveNumber     int

	evacuated     string     // failure domain that is evacuated, or ""
	evacuationMu  sync.Mutex // held while a failure domain is evacuated
	replacementMu sync.Mutex // held while a back end is replaced
	replacements  int

	crashingPrompts crashingPrompts
	outdatedOrders  atomic.Bool // engines accepted orders long after the verification that led to them

	requestLog requestLog
	probeCount atomic.Int64
}

// node is a process of the system and the proxy between it and the store.
type node struct {
	*process
	storeProxy   *proxy
	frontAddress string
	disruptionMu sync.Mutex // held by the fault that stops or pauses the process
}

// backend is a stand-in for an engine or a plain back end, behind a proxy.
type backend struct {
	*platformtest.Runner
	engine       *platformtest.Engine // nil for a plain back end
	proxy        *proxy
	service      string
	domain       core.FailureDomain
	entryExpired atomic.Bool  // its entry in the store has expired
	entryState   atomic.Value // state in its entry, a string; "" after it was removed
	holdsOff     atomic.Bool  // it refuses requests and asks for no more of them
	withdrawals  withdrawalLog
	loads        loadLog
	rates        rateLog
	rateMu       sync.Mutex                    // held while it states a rate
	crashMu      sync.Mutex                    // held while the engine is down after a crash
	silenceMu    sync.Mutex                    // held while it is silent
	silence      atomic.Pointer[chan struct{}] // closed at the end of the last silence
	brokenOff    sync.Map                      // by runKey, whether runs that the back end broke off by itself sent something useful
}

// recordedWrite is a change that an operator or a back end wrote. Later runs must respect it.
type recordedWrite struct {
	at     time.Time
	kind   string // "drained", "evacuated", "returned", "moved", "revoked" or "published"
	target string
	number int64 // the version if published, the number of the move if moved, otherwise 0
}

var networkNumber atomic.Int64 // number of systems so far; each has its own addresses, because soaks run in parallel

func newSystem(t testing.TB, seed uint64) *system {
	t.Helper()
	return newSystemWith(t, seed, settings.Resources{})
}

// newSystemWith starts a system whose processes have the resources.
func newSystemWith(t testing.TB, seed uint64, resources settings.Resources) *system {
	t.Helper()
	number := int(networkNumber.Add(1)) + os.Getpid()*16
	s := &system{
		t:             t,
		seed:          seed,
		resources:     resources,
		faultRandom:   rand.New(rand.NewPCG(seed, 0)),
		gapFactor:     1,
		networkPrefix: fmt.Sprintf("127.%d.%d", 20+number%200, number/200%250),
		folder:        t.TempDir(),
		started:       time.Now(),
		store:         platformtest.NewStore(),
		origin:        platformtest.NewOrigin(testWeights),
		disruptions:   newDisruptions(t),
		newestVersion: 1,
	}
	if seed%2 == 0 {
		s.gapFactor = sparseGapFactor
	}
	t.Cleanup(s.store.Close)
	t.Cleanup(s.origin.Close)
	t.Cleanup(s.saveLogs)
	s.startBackends()
	s.configure()
	s.startProcesses()
	go s.heartbeat(t.Context())
	go s.watchLoads(t.Context())
	return s
}

func (s *system) ip(lastOctet int) string { return fmt.Sprintf("%s.%d", s.networkPrefix, lastOctet) }

func (s *system) startBackends() {
	for i := range engineCount {
		e := platformtest.NewEngine(fmt.Sprintf("engine-%d", i), testWeights, 1)
		s.engines = append(s.engines, s.addBackend(e.Runner, e, s.ip(50+i), "models", i))
	}
	for i := range plainBackendCount {
		r := platformtest.NewRunner(fmt.Sprintf("plain-%d", i))
		s.plainBackends = append(s.plainBackends, s.addBackend(r, nil, s.ip(100+i), "plain", i))
	}
	for i := range movingBackendCount {
		r := platformtest.NewRunner(fmt.Sprintf("mover-%d", i))
		s.movingBackends = append(s.movingBackends, s.addBackend(r, nil, s.ip(120+i), fmt.Sprintf("move-%d", i), i))
	}
}

// addBackend puts the back end behind a proxy and registers it in the store.
func (s *system) addBackend(r *platformtest.Runner, e *platformtest.Engine, ip, service string, index int) *backend {
	b := &backend{Runner: r, engine: e, service: service, domain: failureDomains[index%len(failureDomains)]}
	b.proxy = newProxy(s.t, fmt.Sprintf("%s:%d", ip, enginePort), r.Address())
	b.RegisteredAddress = b.proxy.address()
	s.t.Cleanup(r.Close)
	r.SetHandler(s.backendHandler(b))
	s.mu.Lock()
	s.allBackends = append(s.allBackends, b)
	s.mu.Unlock()
	s.register(b, "ready")
	return b
}

// currentPlainBackends returns the plain back ends that have not been replaced.
func (s *system) currentPlainBackends() []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.plainBackends)
}

func (s *system) setPlainBackend(index int, replacement *backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plainBackends[index] = replacement
}

func (s *system) register(b *backend, state string) {
	model, number := "", int64(0)
	if b.engine != nil {
		number = b.engine.Version()
		if number > 0 {
			model = testWeights.Model
		}
	}
	b.entryState.Store(state)
	s.store.Register(b.Runner, b.service, string(b.domain), state, model, number)
}

// unregister removes the back end's entry.
func (s *system) unregister(b *backend) {
	b.entryState.Store("")
	s.store.Unregister(b.Runner)
}

// heartbeat renews the entries of engines periodically, as real engines do.
func (s *system) heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		for _, b := range s.engines {
			if !b.entryExpired.Load() {
				s.register(b, "ready")
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

func (s *system) configure() {
	route := func(name, kind, service string) platformtest.Route {
		return platformtest.Route{Name: name, Kind: kind, Service: service, TimeoutMs: routeTimeoutMs, MaxAttempts: routeAttempts}
	}
	stream := route("stream", "stream", "models")
	stream.Resumable, stream.Generates = true, true
	s.config = platformtest.Configuration{
		Version:       1,
		Routes:        []platformtest.Route{route("once", "unsafe", "plain"), route("safe", "safe", "plain"), stream, route("moving", "safe", "move-0")},
		Services:      []string{"plain", "move-0", "move-1", "move-2", "move-3"},
		EngineService: "models",
		Slots:         engineSlots,
		Weights:       testWeights,
		Origin:        s.origin.Address(),
		Keys:          []string{"kept", "taken-0", "taken-1", "taken-2"},
	}
	s.store.Configure(s.config)
}

func (s *system) startProcesses() {
	regions := map[core.FailureDomain]core.Region{"east-a": "east", "west-a": "west"}
	var delegates []string
	for i := range gatewayCount - 1 {
		delegates = append(delegates, fmt.Sprintf("%s:%d", s.ip(10+i), controlPort))
	}
	place := func(ip string, i int, name string) settings.Place {
		domain := failureDomains[i%len(failureDomains)]
		return settings.Place{
			Resources: s.resources,
			Host:      core.HostID(name), FailureDomain: domain, Region: regions[domain], Regions: regions, Address: ip,
			StoreAddress: fmt.Sprintf("%s:%d", ip, storePort), Delegates: delegates, Ports: []int{firstPort, lastPort},
		}
	}
	for i := range gatewayCount {
		ip, name := s.ip(10+i), fmt.Sprintf("gateway-%d", i)
		front := fmt.Sprintf("%s:%d", ip, frontPort)
		config := settings.Gateway{
			Place: place(ip, i, name), FrontAddress: front, ReadyAddress: fmt.Sprintf("%s:%d", ip, readyPort), ControlAddress: fmt.Sprintf("%s:%d", ip, controlPort),
			GraceMs: toMillis(gracePeriod), RevocationMs: toMillis(revocationBound), VersionRolloutMs: toMillis(versionBound), RetryRatio: retryShare,
		}
		s.gateways = append(s.gateways, s.addNode(ip, "lovage-gateway", name, front, config))
	}
	for i := range engineCount {
		ip, name := s.ip(50+i), fmt.Sprintf("sidecar-%d", i)
		config := settings.Sidecar{
			Place: place(ip, i, name), EngineAddress: s.engines[i].RegisteredAddress, Service: "models",
			GraceMs: toMillis(gracePeriod), VersionRolloutMs: toMillis(versionBound), LinkMbps: 100,
		}
		s.sidecars = append(s.sidecars, s.addNode(ip, "lovage-sidecar", name, "", config))
	}
}

func toMillis(d time.Duration) settings.Millis { return settings.Millis(d.Milliseconds()) }

func (s *system) addNode(ip, binary, name, front string, config any) *node {
	store := newProxy(s.t, fmt.Sprintf("%s:%d", ip, storePort), s.store.Address())
	return &node{process: newProcess(s.t, s.folder, binary, name, config), storeProxy: store, frontAddress: front}
}

// performWrite waits until the store is available, carries out an operator's or a back end's write, and records it.
func (s *system) performWrite(kind, target string, number int64, write func()) {
	s.storeOutage.RLock()
	write()
	s.recordWrite(kind, target, number)
	s.storeOutage.RUnlock()
}

// recordWrite records a write with the current time.
func (s *system) recordWrite(kind, target string, number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, recordedWrite{at: time.Now(), kind: kind, target: target, number: number})
	s.t.Logf("%6.2f s: %s %s %d", time.Since(s.started).Seconds(), kind, target, number)
}

// saveLogs copies the logs of a failed soak to a folder that remains after the test.
func (s *system) saveLogs() { keepLogs(s.t, s.folder, s.t.Failed()) }

// keepLogs copies the folder to one that remains after the test, if keep is true.
func keepLogs(t testing.TB, folder string, keep bool) {
	if !keep {
		return
	}
	saved, err := os.MkdirTemp("", "lovage-soak")
	if err != nil {
		t.Log(err)
		return
	}
	if err := os.CopyFS(filepath.Join(saved, "logs"), os.DirFS(folder)); err != nil {
		t.Log(err)
	}
	t.Logf("logs are in %s", saved)
}
