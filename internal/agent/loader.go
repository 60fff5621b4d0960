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
	pollInterval     = 250 * time.Millisecond // between two looks at the engine
	stateTimeout     = 2 * time.Second
	manifestTimeout  = 5 * time.Second
	loadRetryDelay   = 2 * time.Second // after an order that failed
	idleTimeout      = 30 * time.Second
	changeoverDelay  = 2 * time.Second // for the other hosts to hear that this one holds every chunk
	loadTimeout      = time.Minute     // for an order, and more by the size of the weights
	minLoadBytesPerS = 32 << 20
)

// loader brings the version that the configuration asks for onto the engine and watches what the engine holds. All
// fields but the atomic ones belong to the goroutine of run.
type loader struct {
	agent       *Agent
	distributor *distribution.Distributor
	target      atomic.Pointer[core.VersionID]
	view        atomic.Pointer[node.View]
	wakeup      chan struct{}
	loaded      atomic.Pointer[loadedVersion] // what the engine was last seen to hold whole
	advertised  atomic.Bool                   // new requests may have what it holds
	status      atomic.Pointer[wire.VersionStatus]

	manifests     map[core.VersionID]weights.Manifest
	peerSet       peerSet
	requested     []core.VersionID // what the distributor was last asked for
	previous      core.VersionID   // served before the version that serves
	fence         core.FenceNumber // of the last order
	retryAt       time.Time
	completeSince time.Time // when the wanted version was first seen whole beside one that serves
}

// loadedVersion is what an engine holds after an order was read back.
type loadedVersion struct {
	version     core.VersionID
	sha256      string
	incarnation string
	fence       core.FenceNumber
}

func newLoader(a *Agent) *loader {
	limits := plan.DefaultLimits()
	limits.OriginRegion = a.settings.OriginRegion
	limits.RegionBytesPerS = a.settings.RegionBytesPerS
	return &loader{
		agent:     a,
		wakeup:    make(chan struct{}, 1),
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

// setTarget replaces the wanted version. It does not wait.
func (l *loader) setTarget(version core.VersionID) {
	l.target.Store(&version)
	l.wake()
}

// setView takes over a new view of the other hosts. It does not wait.
func (l *loader) setView(view *node.View) {
	l.view.Store(view)
	l.wake()
}

func (l *loader) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// servedVersion returns the version that the engine was last seen to hold, or "".
func (l *loader) servedVersion() core.VersionID {
	loaded := l.loaded.Load()
	if loaded == nil || !l.advertised.Load() {
		return ""
	}
	return loaded.version
}

// loadedNow returns what the engine holds, to be compared by holds when an answer ends.
func (l *loader) loadedNow() *loadedVersion { return l.loaded.Load() }

// checkUnchanged asks the engine whether it has held the version since the answer began: the same order in the same life of the
// engine. It is called before an answer's last frame, so that no answer of other weights is passed off as whole.
func (l *loader) checkUnchanged(ctx context.Context, since *loadedVersion, version core.VersionID) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := l.agent.engine.State(ctx)
	if err != nil {
		return err
	}
	if since != nil && since.version == version && since == l.loaded.Load() && since.matches(state) {
		return nil
	}
	l.wake()
	return fault.New(fault.EndpointFault, "the engine no longer holds the version that had to answer", "send the request again if it is idempotent")
}

func (v *loadedVersion) matches(state backend.EngineState) bool {
	return state.Version == v.version && state.Contents == v.sha256 && state.Life == v.incarnation && state.Fence == v.fence
}

// run works until the context ends.
func (l *loader) run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { l.distributor.Run(ctx) })
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var view *node.View
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wakeup:
		case <-l.distributor.Changed():
		case <-ticker.C:
		}
		if latest := l.view.Load(); latest != nil && latest != view {
			view = latest
			l.distributor.SetPeers(ctx, l.peerSet.peers(latest, l.agent.settings.Host))
		}
		l.advance(ctx)
	}
}

// advance looks at the engine and takes the next step towards the wanted version.
func (l *loader) advance(ctx context.Context) {
	target := l.target.Load()
	if target == nil || l.agent.settings.BackendKind != backendEngine {
		return
	}
	l.checkEngine(ctx)
	version := *target
	if version == l.servedVersion() || time.Now().Before(l.retryAt) {
		l.keepPrevious(ctx, version)
		return
	}
	if err := l.stepTowards(ctx, version); err != nil {
		l.retryAt = time.Now().Add(loadRetryDelay)
		l.agent.logger.Warn().Err(err).Str("version", string(version)).Msg("version not loaded")
		l.setStatus(ctx, version, wire.VersionFailed, err.Error())
	}
}

const backendEngine = "engine"

// checkEngine takes the endpoint out of serving when the engine no longer holds what was loaded.
func (l *loader) checkEngine(ctx context.Context) {
	loaded := l.loaded.Load()
	if loaded == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := l.agent.engine.State(ctx)
	if err == nil && loaded.matches(state) {
		return
	}
	l.stopServing(ctx, "the engine restarted or holds something else")
}

func (l *loader) stopServing(ctx context.Context, reason string) {
	l.advertised.Store(false)
	loaded := l.loaded.Swap(nil)
	if loaded == nil {
		return
	}
	l.agent.gate.TurnCold()
	l.retryAt = time.Time{}
	l.agent.logger.Warn().Str("version", string(loaded.version)).Msg("out of serving: " + reason)
	l.setStatus(ctx, loaded.version, wire.VersionFailed, reason)
}

// keepPrevious drops what is no longer needed once the wanted version serves. The version before it is kept while memory
// lasts.
func (l *loader) keepPrevious(ctx context.Context, version core.VersionID) {
	if version != "" && version == l.servedVersion() {
		l.setVersions(ctx, l.withPrevious(version))
	}
}

// stepTowards takes one step towards the version: its manifest, its chunks, or the order to the engine.
func (l *loader) stepTowards(ctx context.Context, version core.VersionID) error {
	if version == "" {
		return l.unloadEngine(ctx)
	}
	manifest, err := l.manifest(ctx, version)
	if err != nil {
		return err
	}
	if err := l.requestChunks(ctx, version, manifest); err != nil {
		return err
	}
	if missing := len(l.agent.store.Missing(manifest)); missing > 0 {
		l.completeSince = time.Time{}
		l.setStatus(ctx, version, wire.VersionFetching, "")
		return nil
	}
	if !l.mayLoad(ctx, version) {
		return nil
	}
	return l.loadEngine(ctx, version, manifest)
}

// requestChunks asks for the version and, while memory lasts, keeps the chunks of the version that serves.
func (l *loader) requestChunks(ctx context.Context, version core.VersionID, manifest weights.Manifest) error {
	if !l.agent.store.Fits(manifest) {
		return fault.New(fault.Overloaded, "the version is larger than the memory for weights", "raise weights_bytes in the agent's settings")
	}
	l.setVersions(ctx, l.withPrevious(version))
	return nil
}

// withPrevious returns the version and, while memory lasts, the one that served before it, so that a roll back needs no
// fetch.
func (l *loader) withPrevious(version core.VersionID) []core.VersionID {
	previous := l.servedVersion()
	if previous == version || previous == "" {
		previous = l.previous
	}
	kept, ok := l.manifests[previous]
	if !ok || previous == version || !l.agent.store.Fits(l.manifests[version], kept) {
		return []core.VersionID{version}
	}
	return []core.VersionID{version, previous}
}

// setVersions hands the versions to the distributor unless it has them already.
func (l *loader) setVersions(ctx context.Context, versions []core.VersionID) {
	if equalVersions(l.requested, versions) {
		return
	}
	l.requested = versions
	wanted := make([]plan.Version, 0, len(versions))
	for _, version := range versions {
		wanted = append(wanted, plan.Version{ID: version, Manifest: l.manifests[version], Hosts: l.peerSet.regionHosts})
	}
	l.distributor.Want(ctx, wanted)
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
	raw, err := l.agent.objects.GetObject(ctx, weights.ManifestFolder+string(version))
	if err != nil {
		return weights.Manifest{}, err
	}
	manifest, err := weights.DecodeManifest(raw, version)
	if err == nil {
		l.manifests[version] = manifest
	}
	return manifest, err
}
