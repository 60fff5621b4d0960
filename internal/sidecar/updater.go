package sidecar

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/weights/plan"
)

const (
	// initialVersion is the version that engines run before operators request one.
	initialVersion = 1
	// checkInterval is the time between two reports from the engine. It is short against the seconds within which a version
	// has to be served, and a report costs little on the engine's own host.
	checkInterval = 200 * time.Millisecond
	// loadCheckInterval is the time between two reports from an engine that is loading. A load takes some tenths of a
	// second, and the engine serves no requests until the sidecar sees that the load is done.
	loadCheckInterval = 40 * time.Millisecond
	// registrationTimeout is how long a sidecar waits for the registry to list its own engine: a heartbeat interval and
	// the lag of the registry.
	registrationTimeout = 1500 * time.Millisecond
	// registryReadInterval is the time between two reads of the registry while weights are being fetched. Engines that
	// start together register within about one heartbeat interval of each other.
	registryReadInterval = 700 * time.Millisecond
	// manifestRefetchDelay is the time without a new chunk after which the manifest is fetched again if it may have been
	// corrupted on its way. While the origin is away, no chunk arrives either, but the manifest is kept.
	manifestRefetchDelay = 3 * time.Second
	// serveMargin is how long before the deadline of a version its requests are refused, so that admitted requests start in
	// time.
	serveMargin = 500 * time.Millisecond
	// manifestTimeout is short, so that an unavailable origin does not delay fetches from peers.
	manifestTimeout    = 800 * time.Millisecond
	manifestRetryDelay = 300 * time.Millisecond // well above a round trip to the origin
	// supersededMargin is how long before the deadline of the served version its successor is loaded, while the weights of
	// a still newer version are arriving.
	supersededMargin = 700 * time.Millisecond
	// coalesceShare is a share of the bound. If two versions are requested within that time of each other, only the newer
	// one is fetched. The older one would run no longer than that, and its weights would delay the newer on every link.
	coalesceShare = 0.125
	// chunkArrivalWindow is how recently a chunk must have arrived for the weights to count as arriving. A host's link
	// carries several chunks in that time.
	chunkArrivalWindow = 300 * time.Millisecond
	// originTimeout is the time without a chunk of the newest version after which the origin counts as unavailable. It is
	// well above the round trips for a manifest and a first chunk, and well below the bound on a version.
	originTimeout = time.Second
)

// updater brings the engine to the newest requested version. If a newer version is requested before the engine serves the
// previous one, both are targets: the previous one is loaded if the newer one's weights do not arrive in time.
type updater struct {
	sidecar        *Sidecar
	model          core.Model
	targets        []*targetVersion // oldest first
	submittedCount int              // number of targets that were submitted to the distributor
	stagingVersion int64            // version whose chunks are being staged
	stagedChunks   map[int]bool     // chunks of that version that were staged and have not failed verification
	peers          []core.Host      // of the last view in which they were needed
	submittedPeers []core.Host      // peers that were submitted to the distributor
	registryReadAt time.Duration
	loading        bool              // the engine was ordered to load and has not reported that it is done
	report         EngineReport      // last report that was received
	firstReport    EngineReport      // first report that this process received
	firstReportAt  time.Duration     // when it was received, on the boot clock; 0 before
	openWrites     map[int]openWrite // by chunk
	closedVersion  int64             // whose end has been logged; 0 while the loaded version is in time
	open           *openOrder        // the last order if the engine did not answer it, or nil
	loadEvidence
}

// runUpdater reconciles the engine with the requested version until the context ends: at intervals, and when the view or the
// chunks change.
func (s *Sidecar) runUpdater(ctx context.Context) {
	u := &updater{sidecar: s, openWrites: make(map[int]openWrite)}
	for {
		if err := u.reconcile(ctx); err != nil && ctx.Err() == nil {
			s.logger.Warn().Err(err).Str("model", string(u.model)).Msg("version not deployed yet")
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

// interval returns the time until the next report from the engine.
func (u *updater) interval() time.Duration {
	if u.loading || u.proof.version > 0 && u.proof.state != loadProven {
		return loadCheckInterval
	}
	return checkInterval
}

// reconcile takes the next steps towards the newest version. It fetches weights also while the engine is unreachable, as
// long as another engine serves the newest version.
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
	requestedAt := bootclock.Now()
	report, reportErr := s.engine.Report(ctx)
	if (reportErr == nil || report.Leaving) && s.withdrawal.recordReport(report.Leaving, requestedAt, bootclock.Now()) {
		s.logWithdrawal()
	}
	s.recordEngineReport(report)
	u.loading = report.Loading
	if reportErr == nil {
		u.recordReport(report, requestedAt)
	}
	loaded := report.Loaded[model]
	u.setTargets(model, view.Rollouts[model], loaded)
	u.setRequestTimes(view.Rollouts[model])
	deadline, replaced := view.Rollouts[model].Deadline(loaded, s.settings.VersionRolloutMs.Duration())
	pastServeDeadline := replaced && bootclock.Now() > deadline-serveMargin
	s.setServeDeadline(serveDeadline(deadline, replaced))
	var proofErr error
	if reportErr == nil {
		proofErr = u.proveLoad(ctx, view, report)
	}
	s.setServing(loaded, reportErr != nil || report.Loading || pastServeDeadline || !u.serves(loaded), u.report, u.proof)
	u.reportVersions(view.Rollouts[model], loaded, pastServeDeadline)
	if reportErr != nil && !u.peerServesNewest(view) {
		return reportErr // the engine may already have the weights when it can be reached
	}
	fetchErr := u.updateDistributor(ctx, view)
	if reportErr != nil || report.Loading || loaded == u.newestTarget().version || u.submittedCount == 0 {
		s.drainDeadline.Store(0)
		return errors.Join(reportErr, proofErr, fetchErr)
	}
	if !u.isSettled(loaded) {
		return errors.Join(proofErr, fetchErr)
	}
	if u.open.isOpen(u.report, bootclock.Now()) {
		return errors.Join(fetchErr, u.repeatOpen(ctx))
	}
	u.open = nil
	s.orders.setOpen(false)
	if s.orders.isStopping() {
		return fetchErr // nothing is staged for an order that is not sent
	}
	return errors.Join(fetchErr, u.changeVersion(ctx, view, loaded, deadline))
}

// serveDeadline returns the boot clock time in nanoseconds from which the served version takes no requests; 0 if it is not
// being replaced.
func serveDeadline(deadline time.Duration, replaced bool) int64 {
	if !replaced {
		return 0
	}
	return max(1, int64(deadline-serveMargin))
}

// changeVersion stages the next target and orders the engine to load it when its start time has come.
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

// setDrainDeadline sets the time by which the engine must have no requests. There is none while no weights arrive.
func (u *updater) setDrainDeadline(loadStart, now time.Duration, complete bool, next *targetVersion) {
	progress, _ := u.sidecar.distributor.Progress(next.id)
	switch {
	case complete:
		u.sidecar.drainDeadline.Store(int64(loadStart))
	case progress.Have > 0 && now-next.lastChunkAt < chunkArrivalWindow:
		u.sidecar.drainDeadline.Store(int64(drainDeadlineAt(loadStart, now, progress.Remaining)))
	default:
		u.sidecar.drainDeadline.Store(0)
	}
}

// setServing sets the version that the engine serves. If closed is true, the engine takes no requests. The engine's last
// report and what is known of its load are logged with a change.
func (s *Sidecar) setServing(version int64, closed bool, report EngineReport, proof loadProof) {
	s.recordProven(report, proof)
	if closed {
		version = 0
	}
	if before := s.servingVersion.Swap(version); before != version {
		s.drainDeadline.Store(0) // it belonged to the change from the previous version
		s.logger.Info().Int64("before", before).Int64("version", version).Dur("version_left", s.serveTimeLeft()).Bool("proven", proof.state == loadProven).Str("loaded_by", string(proof.origin)).Int64("orders_accepted", report.OrdersAccepted).Time("engine_started", report.StartedAt).Msg("version served changed")
	}
}

// model returns the model that this sidecar's engine runs; false if the configuration names none.
func (s *Sidecar) model(view *catalog.View) (core.Model, bool) {
	service := view.Service(s.settings.Service)
	if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 {
		return "", false
	}
	return service.Engine.Models[0], true
}

// peerServesNewest reports whether another engine serves the newest version, so that its sidecar has the weights.
func (u *updater) peerServesNewest(view *catalog.View) bool {
	return slices.ContainsFunc(view.RegisteredEndpoints(u.sidecar.settings.Service), func(endpoint *catalog.Endpoint) bool {
		version, ok := endpoint.Serves(u.model)
		return ok && version == u.newestTarget().version && endpoint.Address != u.sidecar.settings.EngineAddress
	})
}

// loadStart returns when this engine may stop taking requests to load the version. While the weights of the newest version
// are arriving and can be in time, the previous version is loaded only shortly before the deadline of the served one.
func (u *updater) loadStart(view *catalog.View, next *targetVersion, deadline time.Duration) time.Duration {
	newest := u.newestTarget()
	lastStart := deadline - supersededMargin
	if next != newest && bootclock.Now()-newest.lastChunkAt < originTimeout && newest.canArriveBy(lastStart, next) {
		return lastStart
	}
	peers, _ := u.sidecar.peerHosts(view)
	hosts := []core.HostID{core.HostID(u.sidecar.settings.Address)}
	for _, host := range peers {
		hosts = append(hosts, host.ID)
	}
	position := staggerPosition(hosts[0], hosts, next.version)
	return staggeredStart(next.requestedAt, deadline, u.sidecar.settings.VersionRolloutMs.Duration(), position)
}

// updateDistributor submits the targets and the peers to the distributor. A target without a manifest does not delay the
// other one.
func (u *updater) updateDistributor(ctx context.Context, view *catalog.View) error {
	peers, registered := u.sidecar.peerHosts(view)
	now := bootclock.Now()
	if !registered && u.submittedCount == 0 && now-u.newestTarget().learnedAt < registrationTimeout && !u.peerServesNewest(view) {
		u.sidecar.follower.ReadEndpointsNow()
		return nil
	}
	u.peers = peers
	if !slices.Equal(peers, u.submittedPeers) {
		u.submittedPeers = peers
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

// fetchManifest fetches the target's manifest if it is missing or suspected, and manifestRetryDelay has passed since the last attempt.
func (u *updater) fetchManifest(ctx context.Context, view *catalog.View, target *targetVersion) error {
	now := bootclock.Now()
	if target.manifest != nil && target.suspectedID == "" || now < target.manifestRetryAt {
		return nil
	}
	target.manifestRetryAt = now + manifestRetryDelay
	callCtx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	manifest, err := u.obtainManifest(callCtx, view, target)
	if err != nil {
		return err
	}
	u.submittedCount = 0
	return target.setManifest(manifest)
}

// submitTargets submits the targets that have a manifest to the distributor, if their number has changed.
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
			versions = append(versions, plan.Version{ID: target.id, Manifest: *target.manifest, RegionHosts: hostsInRegion, OriginInterval: view.Origin().TransferTime(target.manifest.ChunkBytes)})
		}
	}
	if len(versions) == u.submittedCount {
		return
	}
	u.submittedCount = len(versions)
	for _, target := range u.targets {
		u.adoptStaged(ctx, target)
	}
	u.sidecar.distributor.SetVersions(ctx, versions)
}

// observeProgress reads the registry at intervals while chunks are missing, and has a manifest fetched again that is refuted or for which
// no chunk arrives.
func (u *updater) observeProgress(now time.Duration) {
	chunksMissing := false
	for _, target := range u.targets {
		progress, known := u.sidecar.distributor.Progress(target.id)
		if target.manifest == nil || known && progress.Have == progress.Total {
			continue
		}
		chunksMissing = true
		if progress.Have != target.chunksHeld {
			target.chunksHeld, target.lastChunkAt = progress.Have, now
		}
		if target.isManifestDoubtful(progress, now) {
			u.sidecar.logger.Warn().Str("manifest", string(target.manifestID)).Int64("version", target.version).Int("have", progress.Have).Bool("refuted", progress.ManifestRefuted).Msg("manifest may be corrupted and is fetched again")
			u.suspectManifest(target)
		}
	}
	if chunksMissing && now-u.registryReadAt > registryReadInterval {
		u.registryReadAt = now
		u.sidecar.follower.ReadEndpointsNow()
	}
}
