package sidecar

import (
	"context"
	"strconv"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/weights"
)

const (
	// firstVersion is what engines run before operators name a version.
	firstVersion = 1
	// checkInterval is between two looks at the engine: short against the seconds in which a version has to run, and
	// the report of an engine is free on its own machine.
	checkInterval = 200 * time.Millisecond
)

const (
	// listPatience is how long a sidecar waits until its own engine stands in the registry: a heartbeat and the lag of
	// the list.
	listPatience = 1500 * time.Millisecond
	// listInterval is between two reads of the registry while weights are brought: engines that start together
	// register within about a heartbeat of each other.
	listInterval = 700 * time.Millisecond
)

// dueMargin before a version has to be left: a request that is let in then begins in time.
const dueMargin = 500 * time.Millisecond

// serve opens the gate for requests that run on the version, or closes it.
func (s *Sidecar) serve(version int64, closed bool) {
	if closed {
		version = 0
	}
	s.serving.Store(version)
}

// target is the model and the version that the engine should run.
type target struct {
	model   core.Model
	version int64
}

// keepVersion brings the engine to the wanted version, again and again, until the context ends.
func (s *Sidecar) keepVersion(ctx context.Context) {
	keeper := &keeper{sidecar: s}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		if err := keeper.check(ctx); err != nil && ctx.Err() == nil {
			s.logger.Warn().Err(err).Str("model", string(keeper.target.model)).Int64("version", keeper.target.version).Msg("version not brought yet")
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

// keeper is the state of keepVersion.
type keeper struct {
	sidecar   *Sidecar
	target    target
	named     time.Duration // when this process heard of the target, on the boot clock
	manifest  *weights.Manifest
	id        core.VersionID
	seeded    bool          // what lay staged at the engine was taken into the store
	listed    time.Duration // when the registry was last read for the version
	neighbour int           // number of neighbours that the distributor was told of
}

// check takes the next step towards the wanted version.
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
	report, err := s.engine.Report(ctx)
	if err != nil {
		s.serve(0, true)
		return err
	}
	loaded := report.Loaded[wanted.model]
	namings := view.Wanted[wanted.model]
	due, leaving := namings.Due(loaded, s.settings.VersionMs.Duration())
	s.serve(loaded, report.Busy || leaving && bootclock.Now() > due-dueMargin)
	if err := k.fetchManifest(ctx, view); err != nil {
		return err
	}
	k.meet(ctx, view, loaded)
	if loaded == wanted.version || report.Busy {
		return nil
	}
	if progress, known := s.distributor.Progress(k.id); !known || progress.Have < progress.Total {
		return nil
	}
	if now := bootclock.Now(); loaded > 0 && now < k.turn(view, due) {
		return nil
	}
	return k.load(ctx)
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

func (k *keeper) aim(wanted target) {
	k.sidecar.logger.Info().Str("model", string(wanted.model)).Int64("version", wanted.version).Msg("version wanted")
	k.named = bootclock.Now()
	k.target, k.manifest, k.seeded, k.neighbour = wanted, nil, false, 0
	k.sidecar.follower.ReadEndpointsNow()
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

func (k *keeper) fetchManifest(ctx context.Context, view *catalog.View) error {
	if k.manifest != nil {
		return nil
	}
	manifest, err := k.sidecar.origin.Manifest(ctx, view.Origin(), k.target.model, k.target.version)
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

// meet tells the distributor what is wanted and who else has to hold it.
func (k *keeper) meet(ctx context.Context, view *catalog.View, loaded int64) {
	s := k.sidecar
	hosts, listed := s.neighbours(view)
	now := bootclock.Now()
	if !listed && now-k.named < listPatience {
		s.follower.ReadEndpointsNow()
		return
	}
	if progress, known := s.distributor.Progress(k.id); (!known || progress.Have < progress.Total) && now-k.listed > listInterval {
		k.listed = now
		s.follower.ReadEndpointsNow()
	}
	if len(hosts) != k.neighbour || !k.seeded {
		k.neighbour = len(hosts)
		s.distributor.SetPeers(ctx, hosts)
	}
	if k.seeded {
		return
	}
	k.seeded = true
	if loaded == k.target.version {
		k.takeStaged(ctx)
	}
	inRegion := 1
	for _, host := range hosts {
		if host.Region == s.settings.Region {
			inRegion++
		}
	}
	s.distributor.Want(ctx, map[core.VersionID]weights.Manifest{k.id: *k.manifest}, []core.VersionID{k.id}, inRegion)
}

// takeStaged takes the pieces of a version that the engine runs from where it loaded them, so that others can have
// them from here.
func (k *keeper) takeStaged(ctx context.Context) {
	s := k.sidecar
	held, err := s.engine.Staged(ctx, k.target.model)
	if err != nil {
		s.logger.Warn().Err(err).Msg("staged pieces not listed; they will be fetched")
		return
	}
	for _, piece := range held {
		if piece >= len(k.manifest.Chunks) {
			continue
		}
		raw, err := s.engine.ReadStaged(ctx, k.target.model, piece)
		if err == nil {
			err = s.store.Put(k.manifest.Chunks[piece], raw)
		}
		if err != nil {
			s.logger.Warn().Err(err).Int("piece", piece).Msg("staged piece not taken; it will be fetched")
		}
	}
}

// load stages every piece, reads each back, and orders the engine to load them.
func (k *keeper) load(ctx context.Context) error {
	s := k.sidecar
	for piece, digest := range k.manifest.Chunks {
		raw := s.store.Get(digest)
		if raw == nil {
			return fault.New(fault.NotFound, "chunk "+strconv.Itoa(piece)+" is not held", "wait until it is fetched")
		}
		if err := s.engine.Stage(ctx, k.target.model, piece, raw); err != nil {
			return err
		}
	}
	for piece, digest := range k.manifest.Chunks {
		raw, err := s.engine.ReadStaged(ctx, k.target.model, piece)
		if err != nil {
			return err
		}
		if weights.Sum(raw) != digest {
			return fault.New(fault.Corrupted, "staged piece "+strconv.Itoa(piece)+" does not match its digest", "stage it again")
		}
	}
	s.serve(0, true) // the engine takes nothing new from here until it has loaded
	outcome, err := s.engine.Start(ctx, k.target.model, k.target.version)
	s.logger.Info().Str("model", string(k.target.model)).Int64("version", k.target.version).Int("outcome", int(outcome)).Err(err).Msg("engine ordered to load")
	return err
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
	return p.sidecar.origin.Piece(ctx, view.Origin(), wanted.model, version, int(offset/length))
}
