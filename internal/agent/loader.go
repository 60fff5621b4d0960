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
	pollInterval     = 250 * time.Millisecond // between two checks of the engine's state
	stateTimeout     = 2 * time.Second
	manifestTimeout  = 5 * time.Second
	loadRetryDelay   = 2 * time.Second // after a failed load
	idleTimeout      = 30 * time.Second
	changeoverDelay  = 2 * time.Second // lets the other hosts learn that this one has every chunk
	loadTimeout      = time.Minute     // for a load; the size of the weights divided by minLoadBytesPerS is added
	minLoadBytesPerS = 32 << 20
)

// loader brings the configured version onto the engine and monitors what the engine holds. All fields except the
// atomic ones belong to the goroutine of run.
type loader struct {
	agent       *Agent
	distributor *distribution.Distributor
	target      atomic.Pointer[core.VersionID]
	view        atomic.Pointer[node.View]
	wakeup      chan struct{}
	loaded      atomic.Pointer[loadedVersion] // last known content of the engine, nil if none is confirmed
	advertised  atomic.Bool                   // the loaded version takes new requests
	status      atomic.Pointer[wire.VersionStatus]

	manifests     map[core.VersionID]weights.Manifest
	peerSet       peerSet
	requested     []core.VersionID // versions last passed to the distributor
	previous      core.VersionID   // version that served before the current one
	fence         core.FenceNumber // of the last command to the engine
	retryAt       time.Time
	completeSince time.Time // when all chunks of the target version were first present while another version served
}

// loadedVersion is what the engine reported after a load. incarnation identifies the run of the engine process.
type loadedVersion struct {
	version     core.VersionID
	sha256      string
	incarnation string
	fence       core.FenceNumber
}

func newLoader(a *Agent) *loader {
	limits := plan.DefaultLimits()
	limits.OriginRegion = a.settings.OriginRegion
	limits.CrossRegionBytesPerS = a.settings.RegionBytesPerS
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

// setTarget sets the version to load. It does not block.
func (l *loader) setTarget(version core.VersionID) {
	l.target.Store(&version)
	l.wake()
}

// setView sets the latest view of the other hosts. It does not block.
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

// servedVersion returns the version that new requests may use, or "" if there is none.
func (l *loader) servedVersion() core.VersionID {
	loaded := l.loaded.Load()
	if loaded == nil || !l.advertised.Load() {
		return ""
	}
	return loaded.version
}

// loadedNow returns the last known content of the engine, or nil if none is confirmed. The value at the start of an
// answer is passed to checkUnchanged at the end of that answer.
func (l *loader) loadedNow() *loadedVersion { return l.loaded.Load() }

// checkUnchanged returns an error unless the engine has held the version since the answer began, from the same load
// and in the same run of the engine. It is called before the last frame of an answer, so that an answer from other
// weights is not reported as complete.
func (l *loader) checkUnchanged(ctx context.Context, loadedAtStart *loadedVersion, version core.VersionID) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := l.agent.engine.State(ctx)
	if err != nil {
		return err
	}
	if loadedAtStart != nil && loadedAtStart.version == version && loadedAtStart == l.loaded.Load() && loadedAtStart.matches(state) {
		return nil
	}
	l.wake()
	return fault.New(fault.EndpointFault, "the engine no longer holds the version that should answer", "retry the request if it is idempotent")
}

func (v *loadedVersion) matches(state backend.EngineState) bool {
	return state.Version == v.version && state.WeightsSHA256 == v.sha256 && state.Incarnation == v.incarnation && state.Fence == v.fence
}

// run handles new targets, new views and the progress of downloads, and polls the engine, until the context ends.
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

// advance checks the engine and takes the next step towards the target version.
func (l *loader) advance(ctx context.Context) {
	target := l.target.Load()
	if target == nil || l.agent.settings.BackendKind != backendEngine {
		return
	}
	l.checkEngine(ctx)
	version := *target
	if version == l.servedVersion() || time.Now().Before(l.retryAt) {
		l.pruneVersions(ctx, version)
		return
	}
	if err := l.stepTowards(ctx, version); err != nil {
		l.retryAt = time.Now().Add(loadRetryDelay)
		l.agent.logger.Warn().Err(err).Str("version", string(version)).Msg("version not loaded")
		l.setStatus(ctx, version, wire.VersionFailed, err.Error())
	}
}

const backendEngine = "engine"

// checkEngine takes the endpoint out of serving if the engine no longer holds what was loaded.
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
	l.agent.gate.ResetToCold()
	l.retryAt = time.Time{}
	l.agent.logger.Warn().Str("version", string(loaded.version)).Msg("out of serving: " + reason)
	l.setStatus(ctx, loaded.version, wire.VersionFailed, reason)
}

// pruneVersions drops the chunks that are no longer needed once the target version serves. The previous version is
// kept if there is memory for both.
func (l *loader) pruneVersions(ctx context.Context, version core.VersionID) {
	if version != "" && version == l.servedVersion() {
		l.setVersions(ctx, l.withPrevious(version))
	}
}

// stepTowards takes one step towards the version: it gets the manifest, requests the chunks, or loads the engine.
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

// requestChunks requests the chunks of the version and, if there is memory for both, keeps those of the version
// that serves. It returns an error of kind Overloaded if the version alone does not fit into the memory for weights.
func (l *loader) requestChunks(ctx context.Context, version core.VersionID, manifest weights.Manifest) error {
	if !l.agent.store.Fits(manifest) {
		return fault.New(fault.Overloaded, "the version is larger than the memory for weights", "raise weights_bytes in the agent's settings")
	}
	l.setVersions(ctx, l.withPrevious(version))
	return nil
}

// withPrevious returns the version and, if there is memory for both, the one that served before it, so that a
// rollback needs no download.
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

// setVersions passes the versions to the distributor if they have changed.
func (l *loader) setVersions(ctx context.Context, versions []core.VersionID) {
	if equalVersions(l.requested, versions) {
		return
	}
	l.requested = versions
	wanted := make([]plan.Version, 0, len(versions))
	for _, version := range versions {
		wanted = append(wanted, plan.Version{ID: version, Manifest: l.manifests[version], RegionHosts: l.peerSet.regionHosts})
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

// manifest returns the version's manifest and caches it.
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
