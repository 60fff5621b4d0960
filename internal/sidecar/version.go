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
	firstVersion = 1
	// checkInterval is between two looks at the engine: short against the seconds in which a version has to run, and
	// the report of an engine is free on its own machine.
	checkInterval = 200 * time.Millisecond
	// loadInterval is between two looks at an engine that loads: it serves nothing until it is seen to be done, and a load
	// takes some tenths of a second.
	loadInterval = 40 * time.Millisecond
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
	// manifestTimeout is short, since an origin that is away must not hold up what can be had from others.
	manifestTimeout = 800 * time.Millisecond
	manifestRetry   = 300 * time.Millisecond // long against a round trip to the origin
	// supersededMargin before a version has to be left, the one after it is loaded if the newest cannot be had yet.
	supersededMargin = 700 * time.Millisecond
	// pairedShare of the bound: versions that are named more closely after each other than that are brought as one, the
	// newer. The older would run for that long at most, and its weights hold up those of the newer on every link.
	pairedShare = 0.125
	// flowing weights had a chunk within this time: several chunks take as long on a machine's link.
	flowing = 300 * time.Millisecond
	// originPatience without a chunk of the newest version, its origin counts as away. It is long against the round trips
	// of a manifest and a first chunk, and short against the time in which a version has to run.
	originPatience = time.Second
)

// goal is a version that the engine should run.
type goal struct {
	version  int64
	named    time.Duration // when this process heard of it, on the boot clock
	manifest *weights.Manifest
	id       core.VersionID
	retryAt  time.Duration // when the manifest may be asked for again
	have     int           // chunks at the last progress
	advanced time.Duration // when the last chunk arrived
	doubted  time.Duration // when the manifest was last taken for wrong

	askedOrigin time.Duration // for the manifest that others should have had
}

// keeper brings the engine to the newest version. While a newer one is named before the last is everywhere, it has both
// for goals: the older one has to do if the newer one's weights cannot be had in time.
type keeper struct {
	sidecar *Sidecar
	model   core.Model
	goals   []*goal      // oldest first
	told    int          // goals that the distributor was told of
	staging int64        // version of which pieces were staged
	staged  map[int]bool // its pieces that lie staged, as far as known
	hosts   []core.Host  // that the distributor was told of
	listed  time.Duration
	loading bool // the engine was ordered to load and has not been seen to be done
}

// keepVersion brings the engine to the wanted version, again and again, until the context ends.
func (s *Sidecar) keepVersion(ctx context.Context) {
	k := &keeper{sidecar: s}
	for {
		if err := k.check(ctx); err != nil && ctx.Err() == nil {
			s.logger.Warn().Err(err).Str("model", string(k.model)).Msg("version not brought yet")
		}
		timer := time.NewTimer(k.interval())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.changed:
		case <-s.distributor.Changed():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// interval is the time until the next look at the engine.
func (k *keeper) interval() time.Duration {
	if k.loading {
		return loadInterval
	}
	return checkInterval
}

// check takes the next steps towards the newest version. Weights are brought also while the engine cannot be reached.
func (k *keeper) check(ctx context.Context) error {
	s := k.sidecar
	view := s.follower.View()
	if view.Index == nil {
		return nil
	}
	model, ok := s.model(view)
	if !ok {
		return nil
	}
	report, unreachable := s.engine.Report(ctx)
	s.reading.SetPace(report.Pace)
	k.loading = report.Busy
	loaded := report.Loaded[model]
	k.aim(model, view.Wanted[model], loaded)
	due, leaving := view.Wanted[model].Due(loaded, s.settings.VersionMs.Duration())
	late := leaving && bootclock.Now() > due-dueMargin
	s.closes.Store(closingTime(due, leaving))
	s.serve(loaded, unreachable != nil || report.Busy || late)
	if unreachable != nil && !k.othersServe(view) {
		return unreachable // it may come up with the weights
	}
	missing := k.bring(ctx, view)
	if unreachable != nil || report.Busy || loaded == k.newest().version || k.told == 0 {
		s.leaving.Store(0)
		return errors.Join(unreachable, missing)
	}
	return errors.Join(missing, k.change(ctx, view, loaded, due))
}

// closingTime is when the engine must be sent nothing more, on the boot clock in nanoseconds; 0 for never.
func closingTime(due time.Duration, leaving bool) int64 {
	if !leaving {
		return 0
	}
	return int64(due - dueMargin)
}

// change stages the version that comes next and orders the engine to load it when its turn has come.
func (k *keeper) change(ctx context.Context, view *catalog.View, loaded int64, due time.Duration) error {
	next := k.next()
	if err := k.stageArrived(ctx, next); err != nil {
		return err
	}
	turn := k.turn(view, next, due)
	complete := len(k.staged) == len(next.manifest.Chunks)
	now := bootclock.Now()
	k.announceTurn(turn, now, complete, next)
	if !complete || loaded > 0 && now < turn {
		return nil
	}
	return k.load(ctx, next)
}

// next returns the newest goal whose weights are complete, or else the newest with a manifest.
func (k *keeper) next() *goal {
	var newest *goal
	for _, g := range slices.Backward(k.goals) {
		if g.manifest == nil {
			continue
		}
		if progress, known := k.sidecar.distributor.Progress(g.id); known && progress.Have == progress.Total {
			return g
		}
		if newest == nil {
			newest = g
		}
	}
	return newest
}

func (k *keeper) newest() *goal { return k.goals[len(k.goals)-1] }

// announceTurn lets the gate know when the engine has to be empty. Nothing is known while the weights do not arrive.
func (k *keeper) announceTurn(turn, now time.Duration, complete bool, next *goal) {
	progress, _ := k.sidecar.distributor.Progress(next.id)
	switch {
	case complete:
		k.sidecar.leaving.Store(int64(turn))
	case progress.Have > 0 && now-next.advanced < flowing:
		k.sidecar.leaving.Store(int64(emptyAt(turn, now, progress.Remaining)))
	default:
		k.sidecar.leaving.Store(0)
	}
}

// serve opens the gate for requests that run on the version, or closes it.
func (s *Sidecar) serve(version int64, closed bool) {
	if closed {
		version = 0
	}
	if before := s.serving.Swap(version); before != version {
		s.leaving.Store(0) // it was of the version before
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
func (k *keeper) aim(model core.Model, namings catalog.Namings, loaded int64) {
	versions := []int64{max(firstVersion, namings.Newest())}
	if before := namings.Before(); loaded > 0 && loaded < before && namings.Gap() > k.paired() {
		versions = []int64{before, versions[0]}
	}
	known := func(g *goal) int64 { return g.version }
	if k.model == model && slices.EqualFunc(k.goals, versions, func(g *goal, version int64) bool { return known(g) == version }) {
		return
	}
	goals := make([]*goal, 0, len(versions))
	for _, version := range versions {
		i := slices.IndexFunc(k.goals, func(g *goal) bool { return k.model == model && known(g) == version })
		if i >= 0 {
			goals = append(goals, k.goals[i])
			continue
		}
		now := bootclock.Now()
		goals = append(goals, &goal{version: version, named: now, advanced: now})
		k.sidecar.logger.Info().Str("model", string(model)).Int64("version", version).Msg("version wanted")
	}
	k.model, k.goals, k.told = model, goals, 0
	k.sidecar.follower.ReadEndpointsNow()
}

// paired is the longest time between two namings of which only the newer is brought.
func (k *keeper) paired() time.Duration {
	return time.Duration(pairedShare * float64(k.sidecar.settings.VersionMs.Duration()))
}

// othersServe tells whether another engine serves the newest version, so that its sidecar has the weights.
func (k *keeper) othersServe(view *catalog.View) bool {
	return slices.ContainsFunc(view.Listed(k.sidecar.settings.Service), func(endpoint *catalog.Endpoint) bool {
		version, ok := endpoint.Serves(k.model)
		return ok && version == k.newest().version && endpoint.Address != k.sidecar.settings.EngineAddress
	})
}

// turn is when this engine may stop taking requests to load the version. While the weights of the newest version
// arrive, the one before it is loaded only when the engine has to leave what it runs.
func (k *keeper) turn(view *catalog.View, next *goal, due time.Duration) time.Duration {
	newest := k.newest()
	if next != newest && bootclock.Now()-newest.advanced < originPatience {
		return due - supersededMargin
	}
	neighbours, _ := k.sidecar.neighbours(view)
	hosts := []core.HostID{core.HostID(k.sidecar.settings.Address)}
	for _, host := range neighbours {
		hosts = append(hosts, host.ID)
	}
	place := placeInTurn(hosts[0], hosts, next.version)
	return turnAt(next.named, due, k.sidecar.settings.VersionMs.Duration(), place)
}

// bring keeps the distributor informed of what is wanted and of who else has to hold it. A goal without a manifest holds
// up no other.
func (k *keeper) bring(ctx context.Context, view *catalog.View) error {
	hosts, listed := k.sidecar.neighbours(view)
	now := bootclock.Now()
	if !listed && k.told == 0 && now-k.newest().named < listPatience && !k.othersServe(view) {
		k.sidecar.follower.ReadEndpointsNow()
		return nil
	}
	if !slices.Equal(hosts, k.hosts) {
		k.hosts = hosts
		k.sidecar.distributor.SetPeers(ctx, hosts)
	}
	var missing error
	for _, g := range k.goals {
		missing = errors.Join(missing, k.fetchManifest(ctx, view, g))
	}
	k.tell(ctx, view)
	k.observeProgress(now)
	return missing
}

func (k *keeper) fetchManifest(ctx context.Context, view *catalog.View, g *goal) error {
	now := bootclock.Now()
	if g.manifest != nil || now < g.retryAt {
		return nil
	}
	g.retryAt = now + manifestRetry
	call, stop := context.WithTimeout(ctx, manifestTimeout)
	defer stop()
	manifest, err := k.manifest(call, view, g)
	if err != nil {
		return err
	}
	_, id, err := manifest.Encode()
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the manifest cannot be encoded", "report this")
	}
	g.manifest, g.id = &manifest, id
	return nil
}

// tell hands the goals that have a manifest to the distributor when they have changed.
func (k *keeper) tell(ctx context.Context, view *catalog.View) {
	inRegion := 1
	for _, host := range k.hosts {
		if host.Region == k.sidecar.settings.Region {
			inRegion++
		}
	}
	var wanted []plan.Version
	for _, g := range k.goals {
		if g.manifest != nil {
			wanted = append(wanted, plan.Version{ID: g.id, Manifest: *g.manifest, Hosts: inRegion, OriginGap: view.Origin().Time(g.manifest.ChunkBytes)})
		}
	}
	if len(wanted) == k.told {
		return
	}
	k.told = len(wanted)
	for _, g := range k.goals {
		k.takeStaged(ctx, g)
	}
	k.sidecar.distributor.Want(ctx, wanted)
}

// observeProgress reads the registry now and then while chunks are missing, and doubts a manifest when none arrives.
func (k *keeper) observeProgress(now time.Duration) {
	missing := false
	for _, g := range k.goals {
		progress, known := k.sidecar.distributor.Progress(g.id)
		if g.manifest == nil || known && progress.Have == progress.Total {
			continue
		}
		missing = true
		if progress.Have != g.have {
			g.have, g.advanced = progress.Have, now
		}
		if now-max(g.advanced, g.doubted) > manifestDoubt {
			k.sidecar.logger.Warn().Str("manifest", string(g.id)).Int64("version", g.version).Int("have", progress.Have).Msg("no chunk arrives; manifest is fetched again")
			g.doubted = now
			k.sidecar.keepManifest(manifestRequest{Model: k.model, Version: g.version}, nil)
			g.manifest = nil
			k.told = 0
		}
	}
	if missing && now-k.listed > listInterval {
		k.listed = now
		k.sidecar.follower.ReadEndpointsNow()
	}
}

// pieces fetches chunks from the origin for the distributor. The object's name is the version's number.
type pieces struct{ sidecar *Sidecar }

// FetchRange implements platform.Origin. A chunk is a piece.
func (p *pieces) FetchRange(ctx context.Context, object string, offset, length int64) ([]byte, error) {
	view := p.sidecar.follower.View()
	model, ok := p.sidecar.model(view)
	version, err := strconv.ParseInt(object, 10, 64)
	if !ok || err != nil {
		return nil, fault.New(fault.NotFound, "no version "+object+" is wanted", "wait for the configuration")
	}
	return p.sidecar.origin.Piece(ctx, view.Origin().Address, model, version, int(offset/length))
}
