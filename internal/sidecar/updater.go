package sidecar

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/weights/plan"
)

const (
	// firstVersion is what engines run before operators name a version.
	initialVersion = 1
	// checkInterval is between two looks at the engine: short against the seconds in which a version has to run, and
	// the report of an engine is free on its own machine.
	checkInterval = 200 * time.Millisecond
	// loadInterval is between two looks at an engine that loads: it serves nothing until it is seen to be done, and a load
	// takes some tenths of a second.
	loadCheckInterval = 40 * time.Millisecond
	// listPatience is how long a sidecar waits until its own engine stands in the registry: a heartbeat and the lag of
	// the list.
	registrationTimeout = 1500 * time.Millisecond
	// listInterval is between two reads of the registry while weights are brought: engines that start together
	// register within about a heartbeat of each other.
	registryReadInterval = 700 * time.Millisecond
	// manifestDoubt without a new chunk makes the manifest suspect: it comes over the same links as chunks, and chunks
	// never match a corrupted one.
	manifestRefetchDelay = 3 * time.Second
	// dueMargin before a version has to be left: a request that is let in then begins in time.
	serveMargin = 500 * time.Millisecond
	// manifestTimeout is short, since an origin that is away must not hold up what can be had from others.
	manifestTimeout    = 800 * time.Millisecond
	manifestRetryDelay = 300 * time.Millisecond // long against a round trip to the origin
	// supersededMargin before a version has to be left, the one after it is loaded if the newest cannot be had yet.
	supersededMargin = 700 * time.Millisecond
	// pairedShare of the bound: versions that are named more closely after each other than that are brought as one, the
	// newer. The older would run for that long at most, and its weights hold up those of the newer on every link.
	coalesceShare = 0.125
	// flowing weights had a chunk within this time: several chunks take as long on a machine's link.
	chunkArrivalWindow = 300 * time.Millisecond
	// originPatience without a chunk of the newest version, its origin counts as away. It is long against the round trips
	// of a manifest and a first chunk, and short against the time in which a version has to run.
	originTimeout = time.Second
)

// goal is a version that the engine should run.
type targetVersion struct {
	version           int64
	requestedAt       time.Duration // when this process heard of it, on the boot clock
	manifest          *weights.Manifest
	manifestID        core.VersionID
	manifestRetryAt   time.Duration // when the manifest may be asked for again
	chunksHeld        int           // chunks at the last progress
	lastChunkAt       time.Duration // when the last chunk arrived
	manifestDroppedAt time.Duration // when the manifest was last taken for wrong

	originAskedAt time.Duration // for the manifest that others should have had
}

// keeper brings the engine to the newest version. While a newer one is named before the last is everywhere, it has both
// for goals: the older one has to do if the newer one's weights cannot be had in time.
type updater struct {
	sidecar        *Sidecar
	model          core.Model
	targets        []*targetVersion // oldest first
	submittedCount int              // goals that the distributor was told of
	stagingVersion int64            // version of which pieces were staged
	stagedChunks   map[int]bool     // its pieces that lie staged, as far as known
	peers          []core.Host      // that the distributor was told of
	registryReadAt time.Duration
	loading        bool // the engine was ordered to load and has not been seen to be done
}

// keepVersion brings the engine to the wanted version, again and again, until the context ends.
func (s *Sidecar) runUpdater(ctx context.Context) {
	u := &updater{sidecar: s}
	for {
		if err := u.reconcile(ctx); err != nil && ctx.Err() == nil {
			s.logger.Warn().Err(err).Str("model", string(u.model)).Msg("version not brought yet")
		}
		timer := time.NewTimer(u.interval())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.viewUpdated:
		case <-s.distributor.Changed():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// interval is the time until the next look at the engine.
func (u *updater) interval() time.Duration {
	if u.loading {
		return loadCheckInterval
	}
	return checkInterval
}

// check takes the next steps towards the newest version. Weights are brought also while the engine cannot be reached.
func (u *updater) reconcile(ctx context.Context) error {
	s := u.sidecar
	view := s.follower.View()
	if view.Index == nil {
		return nil
	}
	model, ok := s.model(view)
	if !ok {
		return nil
	}
	report, reportErr := s.engine.Report(ctx)
	s.prompts.SetPace(report.Pace)
	u.loading = report.Busy
	loaded := report.Loaded[model]
	u.setTargets(model, view.Wanted[model], loaded)
	deadline, replaced := view.Wanted[model].Due(loaded, s.settings.VersionMs.Duration())
	pastServeDeadline := replaced && bootclock.Now() > deadline-serveMargin
	s.serveDeadline.Store(serveDeadline(deadline, replaced))
	s.setServing(loaded, reportErr != nil || report.Busy || pastServeDeadline)
	if reportErr != nil && !u.peerServesNewest(view) {
		return reportErr // it may come up with the weights
	}
	fetchErr := u.updateDistributor(ctx, view)
	if reportErr != nil || report.Busy || loaded == u.newestTarget().version || u.submittedCount == 0 {
		s.drainDeadline.Store(0)
		return errors.Join(reportErr, fetchErr)
	}
	return errors.Join(fetchErr, u.changeVersion(ctx, view, loaded, deadline))
}

// closingTime is when the engine must be sent nothing more, on the boot clock in nanoseconds; 0 for never.
func serveDeadline(deadline time.Duration, replaced bool) int64 {
	if !replaced {
		return 0
	}
	return int64(deadline - serveMargin)
}

// change stages the version that comes next and orders the engine to load it when its turn has come.
func (u *updater) changeVersion(ctx context.Context, view *catalog.View, loaded int64, deadline time.Duration) error {
	next := u.nextTarget()
	if err := u.stageArrived(ctx, next); err != nil {
		return err
	}
	loadStart := u.loadStart(view, next, deadline)
	complete := len(u.stagedChunks) == len(next.manifest.Chunks)
	now := bootclock.Now()
	u.setDrainDeadline(loadStart, now, complete, next)
	if !complete || loaded > 0 && now < loadStart {
		return nil
	}
	return u.load(ctx, next)
}

// next returns the newest goal whose weights are complete, or else the newest with a manifest.
func (u *updater) nextTarget() *targetVersion {
	var newestWithManifest *targetVersion
	for _, target := range slices.Backward(u.targets) {
		if target.manifest == nil {
			continue
		}
		if progress, known := u.sidecar.distributor.Progress(target.manifestID); known && progress.Have == progress.Total {
			return target
		}
		if newestWithManifest == nil {
			newestWithManifest = target
		}
	}
	return newestWithManifest
}

func (u *updater) newestTarget() *targetVersion { return u.targets[len(u.targets)-1] }

// announceTurn lets the gate know when the engine has to be empty. Nothing is known while the weights do not arrive.
func (u *updater) setDrainDeadline(loadStart, now time.Duration, complete bool, next *targetVersion) {
	progress, _ := u.sidecar.distributor.Progress(next.manifestID)
	switch {
	case complete:
		u.sidecar.drainDeadline.Store(int64(loadStart))
	case progress.Have > 0 && now-next.lastChunkAt < chunkArrivalWindow:
		u.sidecar.drainDeadline.Store(int64(drainDeadlineAt(loadStart, now, progress.Remaining)))
	default:
		u.sidecar.drainDeadline.Store(0)
	}
}

// serve opens the gate for requests that run on the version, or closes it.
func (s *Sidecar) setServing(version int64, closed bool) {
	if closed {
		version = 0
	}
	if before := s.servingVersion.Swap(version); before != version {
		s.drainDeadline.Store(0) // it was of the version before
		s.logger.Info().Int64("before", before).Int64("version", version).Msg("version served changed")
	}
}

// model returns the model that the engine of this sidecar runs.
func (s *Sidecar) model(view *catalog.View) (core.Model, bool) {
	service := view.Service(s.settings.Service)
	if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 {
		return "", false
	}
	return service.Engine.Models[0], true
}

// aim sets the goals: the two newest versions that the engine has not reached. An engine without weights needs no older
// one.
func (u *updater) setTargets(model core.Model, rollouts catalog.Namings, loaded int64) {
	versions := []int64{max(initialVersion, rollouts.Newest())}
	if previous := rollouts.Previous(); loaded > 0 && loaded < previous && rollouts.NewestInterval() > u.coalesceWindow() {
		versions = []int64{previous, versions[0]}
	}
	versionOf := func(target *targetVersion) int64 { return target.version }
	if u.model == model && slices.EqualFunc(u.targets, versions, func(target *targetVersion, version int64) bool { return versionOf(target) == version }) {
		return
	}
	targets := make([]*targetVersion, 0, len(versions))
	for _, version := range versions {
		i := slices.IndexFunc(u.targets, func(target *targetVersion) bool { return u.model == model && versionOf(target) == version })
		if i >= 0 {
			targets = append(targets, u.targets[i])
			continue
		}
		now := bootclock.Now()
		targets = append(targets, &targetVersion{version: version, requestedAt: now, lastChunkAt: now})
		u.sidecar.logger.Info().Str("model", string(model)).Int64("version", version).Msg("version wanted")
	}
	u.model, u.targets, u.submittedCount = model, targets, 0
	u.sidecar.follower.ReadEndpointsNow()
}

// paired is the longest time between two namings of which only the newer is brought.
func (u *updater) coalesceWindow() time.Duration {
	return time.Duration(coalesceShare * float64(u.sidecar.settings.VersionMs.Duration()))
}

// othersServe tells whether another engine serves the newest version, so that its sidecar has the weights.
func (u *updater) peerServesNewest(view *catalog.View) bool {
	return slices.ContainsFunc(view.Listed(u.sidecar.settings.Service), func(endpoint *catalog.Endpoint) bool {
		version, ok := endpoint.Serves(u.model)
		return ok && version == u.newestTarget().version && endpoint.Address != u.sidecar.settings.EngineAddress
	})
}

// turn is when this engine may stop taking requests to load the version. While the weights of the newest version
// arrive, the one before it is loaded only when the engine has to leave what it runs.
func (u *updater) loadStart(view *catalog.View, next *targetVersion, deadline time.Duration) time.Duration {
	newest := u.newestTarget()
	if next != newest && bootclock.Now()-newest.lastChunkAt < originTimeout {
		return deadline - supersededMargin
	}
	peers, _ := u.sidecar.peerHosts(view)
	hosts := []core.HostID{core.HostID(u.sidecar.settings.Address)}
	for _, host := range peers {
		hosts = append(hosts, host.ID)
	}
	position := staggerPosition(hosts[0], hosts, next.version)
	return staggeredStart(next.requestedAt, deadline, u.sidecar.settings.VersionMs.Duration(), position)
}

// bring keeps the distributor informed of what is wanted and of who else has to hold it. A goal without a manifest holds
// up no other.
func (u *updater) updateDistributor(ctx context.Context, view *catalog.View) error {
	peers, registered := u.sidecar.peerHosts(view)
	now := bootclock.Now()
	if !registered && u.submittedCount == 0 && now-u.newestTarget().requestedAt < registrationTimeout && !u.peerServesNewest(view) {
		u.sidecar.follower.ReadEndpointsNow()
		return nil
	}
	if !slices.Equal(peers, u.peers) {
		u.peers = peers
		u.sidecar.distributor.SetPeers(ctx, peers)
	}
	var fetchErr error
	for _, target := range u.targets {
		fetchErr = errors.Join(fetchErr, u.fetchManifest(ctx, view, target))
	}
	u.submitTargets(ctx, view)
	u.observeProgress(now)
	return fetchErr
}

func (u *updater) fetchManifest(ctx context.Context, view *catalog.View, target *targetVersion) error {
	now := bootclock.Now()
	if target.manifest != nil || now < target.manifestRetryAt {
		return nil
	}
	target.manifestRetryAt = now + manifestRetryDelay
	callCtx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	manifest, err := u.obtainManifest(callCtx, view, target)
	if err != nil {
		return err
	}
	_, id, err := manifest.Encode()
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the manifest cannot be encoded", "report this")
	}
	target.manifest, target.manifestID = &manifest, id
	return nil
}

// tell hands the goals that have a manifest to the distributor when they have changed.
func (u *updater) submitTargets(ctx context.Context, view *catalog.View) {
	hostsInRegion := 1
	for _, host := range u.peers {
		if host.Region == u.sidecar.settings.Region {
			hostsInRegion++
		}
	}
	var versions []plan.Version
	for _, target := range u.targets {
		if target.manifest != nil {
			versions = append(versions, plan.Version{ID: target.manifestID, Manifest: *target.manifest, Hosts: hostsInRegion, OriginGap: view.Origin().TransferTime(target.manifest.ChunkBytes)})
		}
	}
	if len(versions) == u.submittedCount {
		return
	}
	u.submittedCount = len(versions)
	for _, target := range u.targets {
		u.adoptStaged(ctx, target)
	}
	u.sidecar.distributor.Want(ctx, versions)
}

// observeProgress reads the registry now and then while chunks are missing, and doubts a manifest when none arrives.
func (u *updater) observeProgress(now time.Duration) {
	chunksMissing := false
	for _, target := range u.targets {
		progress, known := u.sidecar.distributor.Progress(target.manifestID)
		if target.manifest == nil || known && progress.Have == progress.Total {
			continue
		}
		chunksMissing = true
		if progress.Have != target.chunksHeld {
			target.chunksHeld, target.lastChunkAt = progress.Have, now
		}
		if now-max(target.lastChunkAt, target.manifestDroppedAt) > manifestRefetchDelay {
			u.sidecar.logger.Warn().Str("manifest", string(target.manifestID)).Int64("version", target.version).Int("have", progress.Have).Msg("no chunk arrives; manifest is fetched again")
			target.manifestDroppedAt = now
			u.sidecar.shareManifest(manifestRequest{Model: u.model, Version: target.version}, nil)
			target.manifest = nil
			u.submittedCount = 0
		}
	}
	if chunksMissing && now-u.registryReadAt > registryReadInterval {
		u.registryReadAt = now
		u.sidecar.follower.ReadEndpointsNow()
	}
}

// pieces fetches chunks from the origin for the distributor. The object's name is the version's number.
type originChunks struct{ sidecar *Sidecar }

// FetchRange implements platform.Origin. A chunk is a piece.
func (c *originChunks) FetchRange(ctx context.Context, object string, offset, length int64) ([]byte, error) {
	view := c.sidecar.follower.View()
	model, ok := c.sidecar.model(view)
	version, err := strconv.ParseInt(object, 10, 64)
	if !ok || err != nil {
		return nil, fault.New(fault.NotFound, "no version "+object+" is wanted", "wait for the configuration")
	}
	return c.sidecar.origin.Piece(ctx, view.Origin().Address, model, version, int(offset/length))
}
