package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/weights/distribution"
	"github.com/lovageglade/lovageglade/internal/weights/plan"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	watchInterval   = 250 * time.Millisecond // between two looks at the engine
	stateTimeout    = 2 * time.Second
	manifestTimeout = 5 * time.Second
	orderRetry      = 2 * time.Second // after an order that failed
	idleLimit       = 30 * time.Second
	turnDelay       = 2 * time.Second // for the other hosts to hear that this one holds every chunk
	loadTimeout     = time.Minute     // for an order, and more by the size of the weights
	loadBytesPerS   = 32 << 20
)

// loader brings the version that the configuration asks for onto the engine and watches what the engine holds. All
// fields but the atomic ones belong to the goroutine of run.
type loader struct {
	agent       *Agent
	distributor *distribution.Distributor
	wanted      atomic.Pointer[core.VersionID]
	view        atomic.Pointer[node.View]
	woken       chan struct{}
	held        atomic.Pointer[loaded] // what the engine was last seen to hold whole
	advertised  atomic.Bool            // new requests may have what it holds
	report      atomic.Pointer[wire.VersionStatus]

	manifests map[core.VersionID]weights.Manifest
	roster    roster
	asked     []core.VersionID // what the distributor was last asked for
	former    core.VersionID   // served before the version that serves
	fence     core.FenceNumber // of the last order
	retryAt   time.Time
	wholeAt   time.Time // when the wanted version was first seen whole beside one that serves
}

// loaded is what an engine holds after an order was read back.
type loaded struct {
	version  core.VersionID
	contents string
	life     string
	fence    core.FenceNumber
}

func newLoader(a *Agent) *loader {
	limits := plan.DefaultLimits()
	limits.OriginRegion = a.settings.OriginRegion
	limits.CrossRegionBytesPerS = a.settings.RegionBytesPerS
	return &loader{
		agent:     a,
		woken:     make(chan struct{}, 1),
		manifests: make(map[core.VersionID]weights.Manifest),
		distributor: distribution.New(distribution.Options{
			Self:          a.settings.Host,
			Store:         a.store,
			Origin:        a.origin,
			Peers:         a.peers,
			Logger:        a.logger,
			Limits:        limits,
			LinkBytesPerS: a.settings.LinkBytesPerS,
			Seed:          uint64(a.incarnation),
		}),
	}
}

// want replaces the wanted version. It does not wait.
func (l *loader) want(version core.VersionID) {
	l.wanted.Store(&version)
	l.wake()
}

// see takes over a new view of the other hosts. It does not wait.
func (l *loader) see(view *node.View) {
	l.view.Store(view)
	l.wake()
}

func (l *loader) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// serving returns the version that the engine was last seen to hold, or "".
func (l *loader) serving() core.VersionID {
	held := l.held.Load()
	if held == nil || !l.advertised.Load() {
		return ""
	}
	return held.version
}

// holding returns what the engine holds, to be compared by holds when an answer ends.
func (l *loader) holding() *loaded { return l.held.Load() }

// holds asks the engine whether it has held the version since the answer began: the same order in the same life of the
// engine. It is called before an answer's last frame, so that no answer of other weights is passed off as whole.
func (l *loader) holds(ctx context.Context, since *loaded, version core.VersionID) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := l.agent.engine.State(ctx)
	if err != nil {
		return err
	}
	if since != nil && since.version == version && since == l.held.Load() && since.matches(state) {
		return nil
	}
	l.wake()
	return fault.New(fault.EndpointFault, "the engine no longer holds the version that had to answer", "send the request again if it is idempotent")
}

func (h *loaded) matches(state backend.EngineState) bool {
	return state.Version == h.version && state.WeightsSHA256 == h.contents && state.Incarnation == h.life && state.Fence == h.fence
}

// run works until the context ends.
func (l *loader) run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { l.distributor.Run(ctx) })
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var view *node.View
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.woken:
		case <-l.distributor.Changed():
		case <-ticker.C:
		}
		if latest := l.view.Load(); latest != nil && latest != view {
			view = latest
			l.distributor.SetPeers(ctx, l.roster.peers(latest, l.agent.settings.Host))
		}
		l.advance(ctx)
	}
}

// advance looks at the engine and takes the next step towards the wanted version.
func (l *loader) advance(ctx context.Context) {
	target := l.wanted.Load()
	if target == nil || l.agent.settings.BackendKind != backendEngine {
		return
	}
	l.watch(ctx)
	version := *target
	if version == l.serving() || time.Now().Before(l.retryAt) {
		l.settle(ctx, version)
		return
	}
	if err := l.bring(ctx, version); err != nil {
		l.retryAt = time.Now().Add(orderRetry)
		l.agent.logger.Warn().Err(err).Str("version", string(version)).Msg("version not loaded")
		l.tell(ctx, version, wire.VersionFailed, err.Error())
	}
}

const backendEngine = "engine"

// watch takes the endpoint out of serving when the engine no longer holds what was loaded.
func (l *loader) watch(ctx context.Context) {
	held := l.held.Load()
	if held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := l.agent.engine.State(ctx)
	if err == nil && held.matches(state) {
		return
	}
	l.stopServing(ctx, "the engine restarted or holds something else")
}

func (l *loader) stopServing(ctx context.Context, reason string) {
	l.advertised.Store(false)
	held := l.held.Swap(nil)
	if held == nil {
		return
	}
	l.agent.gate.ResetToCold()
	l.retryAt = time.Time{}
	l.agent.logger.Warn().Str("version", string(held.version)).Msg("out of serving: " + reason)
	l.tell(ctx, held.version, wire.VersionFailed, reason)
}

// settle drops what is no longer needed once the wanted version serves. The version before it is kept while memory
// lasts.
func (l *loader) settle(ctx context.Context, version core.VersionID) {
	if version != "" && version == l.serving() {
		l.ask(ctx, l.withFormer(version))
	}
}

// bring takes one step towards the version: its manifest, its chunks, or the order to the engine.
func (l *loader) bring(ctx context.Context, version core.VersionID) error {
	if version == "" {
		return l.withdraw(ctx)
	}
	manifest, err := l.manifest(ctx, version)
	if err != nil {
		return err
	}
	if err := l.askBeside(ctx, version, manifest); err != nil {
		return err
	}
	if missing := len(l.agent.store.Missing(manifest)); missing > 0 {
		l.wholeAt = time.Time{}
		l.tell(ctx, version, wire.VersionFetching, "")
		return nil
	}
	if !l.mayLoad(ctx, version) {
		return nil
	}
	return l.order(ctx, version, manifest)
}

// askBeside asks for the version and, while memory lasts, keeps the chunks of the version that serves.
func (l *loader) askBeside(ctx context.Context, version core.VersionID, manifest weights.Manifest) error {
	if !l.agent.store.Fits(manifest) {
		return fault.New(fault.Overloaded, "the version is larger than the memory for weights", "raise weights_bytes in the agent's settings")
	}
	l.ask(ctx, l.withFormer(version))
	return nil
}

// withFormer returns the version and, while memory lasts, the one that served before it, so that a roll back needs no
// fetch.
func (l *loader) withFormer(version core.VersionID) []core.VersionID {
	former := l.serving()
	if former == version || former == "" {
		former = l.former
	}
	kept, ok := l.manifests[former]
	if !ok || former == version || !l.agent.store.Fits(l.manifests[version], kept) {
		return []core.VersionID{version}
	}
	return []core.VersionID{version, former}
}

// ask hands the versions to the distributor unless it has them already.
func (l *loader) ask(ctx context.Context, order []core.VersionID) {
	if equalVersions(l.asked, order) {
		return
	}
	l.asked = order
	wanted := make([]plan.Version, 0, len(order))
	for _, version := range order {
		wanted = append(wanted, plan.Version{ID: version, Manifest: l.manifests[version], RegionHosts: l.roster.near})
	}
	l.distributor.SetVersions(ctx, wanted)
}

func equalVersions(a, b []core.VersionID) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// manifest returns the version's manifest, which is fetched once.
func (l *loader) manifest(ctx context.Context, version core.VersionID) (weights.Manifest, error) {
	if known, ok := l.manifests[version]; ok {
		return known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	raw, err := l.agent.objects.GetObject(ctx, weights.ManifestPrefix+string(version))
	if err != nil {
		return weights.Manifest{}, err
	}
	manifest, err := weights.DecodeManifest(raw, version)
	if err == nil {
		l.manifests[version] = manifest
	}
	return manifest, err
}
