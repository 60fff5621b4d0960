package sidecar

import (
	"context"
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
	firstVersion = 1
	// checkInterval is between two looks at the engine: short against the seconds in which a version has to run, and
	// the report of an engine is free on its own machine.
	checkInterval = 200 * time.Millisecond
	// listPatience is how long a sidecar waits until its own engine stands in the registry: a heartbeat and the lag of
	// the list.
	listPatience = 1500 * time.Millisecond
	// listInterval is between two reads of the registry while weights are brought: engines that start together
	// register within about a heartbeat of each other.
	listInterval = 700 * time.Millisecond
	// manifestDoubt without a new chunk makes the manifest suspect: it comes over the same links as chunks, and chunks
	// never match a corrupted one.
	manifestDoubt = 3 * time.Second
	// dueMargin before a version has to be left: a request that is let in then begins in time.
	dueMargin = 500 * time.Millisecond
)

// target is the model and the version that the engine should run.
type target struct {
	model   core.Model
	version int64
}

// keeper brings the engine to the wanted version.
type keeper struct {
	sidecar  *Sidecar
	target   target
	named    time.Duration // when this process heard of the target, on the boot clock
	manifest *weights.Manifest
	id       core.VersionID
	begun    bool         // the distributor was told of the version
	staged   map[int]bool // pieces of the target that lie staged, as far as known
	hosts    []core.Host  // that the distributor was told of
	listed   time.Duration
	have     int           // chunks at the last progress
	advanced time.Duration // when the last chunk arrived
}

// keepVersion brings the engine to the wanted version, again and again, until the context ends.
func (s *Sidecar) keepVersion(ctx context.Context) {
	k := &keeper{sidecar: s}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		if err := k.check(ctx); err != nil && ctx.Err() == nil {
			s.logger.Warn().Err(err).Str("model", string(k.target.model)).Int64("version", k.target.version).Msg("version not brought yet")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.changed:
		case <-s.distributor.Changed():
		}
	}
}

// check takes the next steps towards the wanted version. Weights are brought also while the engine cannot be reached.
func (k *keeper) check(ctx context.Context) error {
	s := k.sidecar
	view := s.follower.View()
	if view.Index == nil {
		return nil
	}
	wanted, ok := s.wanted(view)
	if !ok {
		return nil
	}
	if wanted != k.target {
		k.aim(wanted)
	}
	report, unreachable := s.engine.Report(ctx)
	s.reading.SetPace(report.Pace)
	loaded := report.Loaded[wanted.model]
	due, leaving := view.Wanted[wanted.model].Due(loaded, s.settings.VersionMs.Duration())
	late := leaving && bootclock.Now() > due-dueMargin
	s.serve(loaded, unreachable != nil || report.Busy || late)
	if unreachable != nil && !k.othersServe(view) {
		return unreachable // it may come up with the weights
	}
	if err := k.bring(ctx, view); err != nil {
		return err
	}
	if unreachable != nil || report.Busy || loaded == wanted.version || !k.begun {
		s.leaving.Store(0)
		return unreachable
	}
	if err := k.stageArrived(ctx); err != nil {
		return err
	}
	turn := k.turn(view, due)
	complete := len(k.staged) == len(k.manifest.Chunks)
	k.announceTurn(turn, complete)
	if !complete || loaded > 0 && bootclock.Now() < turn {
		return nil
	}
	return k.load(ctx)
}

// announceTurn lets the gate know when the engine has to be empty. Nothing is known while the turn has passed and
// weights are missing.
func (k *keeper) announceTurn(turn time.Duration, complete bool) {
	if !complete && bootclock.Now() > turn {
		turn = 0
	}
	k.sidecar.leaving.Store(int64(turn))
}

// serve opens the gate for requests that run on the version, or closes it.
func (s *Sidecar) serve(version int64, closed bool) {
	if closed {
		version = 0
	}
	if before := s.serving.Swap(version); before != version {
		s.logger.Info().Int64("before", before).Int64("version", version).Msg("version served changed")
	}
}

// wanted returns the version that the engine of this sidecar should run.
func (s *Sidecar) wanted(view *catalog.View) (target, bool) {
	service := view.Service(s.settings.Service)
	if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 {
		return target{}, false
	}
	model := service.Engine.Models[0]
	return target{model: model, version: max(firstVersion, view.Wanted[model].Newest())}, true
}

func (k *keeper) aim(wanted target) {
	k.sidecar.logger.Info().Str("model", string(wanted.model)).Int64("version", wanted.version).Msg("version wanted")
	*k = keeper{sidecar: k.sidecar, target: wanted, named: bootclock.Now(), staged: make(map[int]bool)}
	k.advanced = k.named
	k.sidecar.follower.ReadEndpointsNow()
}

// othersServe tells whether another engine serves the target, so that its sidecar has the weights.
func (k *keeper) othersServe(view *catalog.View) bool {
	return slices.ContainsFunc(view.Listed(k.sidecar.settings.Service), func(endpoint *catalog.Endpoint) bool {
		version, ok := endpoint.Serves(k.target.model)
		return ok && version == k.target.version && endpoint.Address != k.sidecar.settings.EngineAddress
	})
}

// turn is when this engine may stop taking requests to load the wanted version.
func (k *keeper) turn(view *catalog.View, due time.Duration) time.Duration {
	neighbours, _ := k.sidecar.neighbours(view)
	hosts := []core.HostID{core.HostID(k.sidecar.settings.Address)}
	for _, host := range neighbours {
		hosts = append(hosts, host.ID)
	}
	place := placeInTurn(hosts[0], hosts, k.target.version)
	return turnAt(k.named, due, k.sidecar.settings.VersionMs.Duration(), place)
}

// bring keeps the distributor informed of what is wanted and of who else has to hold it.
func (k *keeper) bring(ctx context.Context, view *catalog.View) error {
	hosts, listed := k.sidecar.neighbours(view)
	now := bootclock.Now()
	if !listed && !k.begun && now-k.named < listPatience && !k.othersServe(view) {
		k.sidecar.follower.ReadEndpointsNow()
		return nil
	}
	if err := k.fetchManifest(ctx, view); err != nil {
		return err
	}
	if !slices.Equal(hosts, k.hosts) {
		k.hosts = hosts
		k.sidecar.distributor.SetPeers(ctx, hosts)
	}
	if !k.begun {
		k.begin(ctx, view)
	}
	k.observeProgress(now)
	return nil
}

func (k *keeper) fetchManifest(ctx context.Context, view *catalog.View) error {
	if k.manifest != nil {
		return nil
	}
	manifest, err := k.sidecar.origin.Manifest(ctx, view.Origin().Address, k.target.model, k.target.version)
	if err != nil {
		return err
	}
	_, id, err := manifest.Encode()
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the manifest cannot be encoded", "report this")
	}
	k.manifest, k.id = &manifest, id
	return nil
}

func (k *keeper) begin(ctx context.Context, view *catalog.View) {
	s := k.sidecar
	k.begun = true
	k.takeStaged(ctx)
	inRegion := 1
	for _, host := range k.hosts {
		if host.Region == s.settings.Region {
			inRegion++
		}
	}
	s.distributor.Want(ctx, []plan.Version{{ID: k.id, Manifest: *k.manifest, Hosts: inRegion, OriginGap: view.Origin().Time(k.manifest.ChunkBytes)}})
}

// observeProgress reads the registry now and then while chunks are missing, and doubts the manifest when none arrives.
func (k *keeper) observeProgress(now time.Duration) {
	progress, known := k.sidecar.distributor.Progress(k.id)
	if known && progress.Have == progress.Total {
		return
	}
	if progress.Have != k.have {
		k.have, k.advanced = progress.Have, now
	}
	if now-k.listed > listInterval {
		k.listed = now
		k.sidecar.follower.ReadEndpointsNow()
	}
	if now-k.advanced > manifestDoubt {
		k.sidecar.logger.Warn().Str("manifest", string(k.id)).Int("have", progress.Have).Msg("no chunk arrives; manifest is fetched again")
		k.advanced = now
		k.manifest, k.begun = nil, false
	}
}

// pieces fetches chunks from the origin for the distributor. The object's name is the version's number.
type pieces struct{ sidecar *Sidecar }

// FetchRange implements platform.Origin. A chunk is a piece.
func (p *pieces) FetchRange(ctx context.Context, object string, offset, length int64) ([]byte, error) {
	view := p.sidecar.follower.View()
	wanted, ok := p.sidecar.wanted(view)
	version, err := strconv.ParseInt(object, 10, 64)
	if !ok || err != nil {
		return nil, fault.New(fault.NotFound, "no version "+object+" is wanted", "wait for the configuration")
	}
	return p.sidecar.origin.Piece(ctx, view.Origin().Address, wanted.model, version, int(offset/length))
}
