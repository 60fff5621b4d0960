package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// An order loads what is staged when the engine accepts it, and every check before the order is made earlier. So a load is proven
// after the engine has accepted the order: staged chunks that match the manifest then have matched when they were taken, unless
// a chunk was written in between. Chunks turn bad by themselves, and only sidecars write good ones.

// proofState is what is known of the weights that the engine has loaded.
type proofState int

const (
	loadUnproven proofState = iota
	loadProven
	loadRefuted // some chunk may have been wrong; the engine has to load again
)

// loadProof is what is known of a load. It holds until the engine accepts another order or starts again.
type loadProof struct {
	state   proofState
	version int64
	origin  loadOrigin
	report  EngineReport // the first one that showed the load's order as accepted
	keeps   bool         // the engine does not give up the refuted weights
}

// loadOrigin is by whose order the engine has loaded its weights.
type loadOrigin string

const (
	loadedAtStart       loadOrigin = "engine's start" // no order was accepted since
	loadedByOwnOrder    loadOrigin = "own order"
	loadedByPredecessor loadOrigin = "order before this process's start"
	loadedByOther       loadOrigin = "order of another process"
)

// maxUndecidedTime is how long a load that was replaced by a newer version is kept while its manifest cannot be fetched. Peers and
// the origin answer well within it.
const maxUndecidedTime = 2 * time.Second

// ownOrder is the last order that this process has sent.
type ownOrder struct {
	target *targetVersion
	report EngineReport // before it was sent
}

// loadEvidence is what the updater knows of its engine's last load. Times are on the boot clock.
type loadEvidence struct {
	proof         loadProof
	ordered       *ownOrder      // the last order that was sent; nil before
	orderedInTime bool           // it was answered within maxLoadAge
	loadedTarget  *targetVersion // a loaded version that is no target; nil before
	reportAskedAt time.Duration  // when the last report was requested
	acceptedAfter time.Duration  // when the last report before the engine's last order was requested; 0 if that was before the first
	lastWriteAt   time.Duration  // when a chunk was last written
}

// isAcceptedIn reports whether the report shows the order as the last one that the engine has accepted, unless it was another one
// with the same condition.
func (o *ownOrder) isAcceptedIn(report EngineReport) bool {
	return o != nil && o.report.StartedAt.Equal(report.StartedAt) && o.report.OrdersAccepted+1 == report.OrdersAccepted
}

// noteReport forgets the proof if the report shows another order or start of the engine than the last one. askedAt is when the report was
// requested.
func (u *updater) noteReport(report EngineReport, askedAt time.Duration) {
	if u.firstReportAt > 0 && u.report.differs(report) {
		u.acceptedAfter = u.reportAskedAt
	}
	if u.proof.report.differs(report) {
		u.proof = loadProof{report: report}
	}
	u.reportAskedAt = askedAt
}

// serves reports whether the loaded version is proven.
func (u *updater) serves(loaded int64) bool {
	return loaded > 0 && u.proof.state == loadProven && u.proof.version == loaded
}

// isSettled reports whether staged chunks may be replaced by another version's: this process no longer needs them to
// prove the load. A successor can't tell, and has the engine load again.
func (u *updater) isSettled(loaded int64) bool {
	return loaded == 0 || u.serves(loaded) || u.proof.keeps
}

// proveLoad proves or refutes the engine's last load, if that is not decided yet. A refuted load is given up.
func (u *updater) proveLoad(ctx context.Context, view *catalog.View, report EngineReport) error {
	loaded := report.Loaded[u.model]
	version := loaded
	if report.Loading {
		if !u.ordered.isAcceptedIn(report) {
			return nil // the version is known once it is loaded
		}
		version = u.ordered.target.version
	}
	if version == 0 {
		return nil
	}
	if u.proof.version != version {
		u.proof = loadProof{report: u.proof.report, version: version, origin: u.loadOrigin()}
	}
	if u.proof.state == loadUnproven {
		if err := u.decideLoad(ctx, view); err != nil {
			return err
		}
	}
	if u.proof.state == loadRefuted && !report.Loading && !u.proof.keeps {
		return u.giveUpLoad(ctx)
	}
	return nil
}

// loadOrigin returns by whose order the engine's last load began.
func (u *updater) loadOrigin() loadOrigin {
	switch {
	case u.report.OrdersAccepted == 0:
		return loadedAtStart
	case u.ordered.isAcceptedIn(u.report):
		return loadedByOwnOrder
	case !u.firstReport.differs(u.report):
		return loadedByPredecessor
	}
	return loadedByOther
}

// decideLoad compares the staged chunks with the manifest of the version that the engine has loaded.
func (u *updater) decideLoad(ctx context.Context, view *catalog.View) error {
	if u.proof.origin == loadedAtStart {
		u.proof.state = loadProven // by the platform, with the engine
		return nil
	}
	target := u.targetOf(u.proof.version)
	fetchErr := u.fetchLoadedManifest(ctx, view, target)
	begun := bootclock.Now()
	staged, err := u.readStaged(ctx)
	if err != nil {
		return err
	}
	switch {
	case target.manifest != nil && matches(staged, target.manifest) && !u.mayHaveRewritten(target.version):
		u.proof.state = loadProven
	case u.proof.origin != loadedByPredecessor && u.holdsOtherVersion(staged, target):
		u.proof.state = loadRefuted // by a chunk of this process, whether written before or after the order was accepted
	case target.manifest != nil && u.proof.origin != loadedByPredecessor:
		u.proof.state = loadRefuted
	case target.manifest != nil:
		if u.isConfirmed(target) {
			u.proof.state = loadRefuted // also beside another version's chunks: they may be older than the order's acceptance
		}
	case u.newestTarget().version != target.version && begun-target.learnedAt > maxUndecidedTime:
		u.proof.state = loadRefuted
	}
	if u.proof.state == loadUnproven {
		return fetchErr
	}
	u.sidecar.logger.Info().Str("model", string(u.model)).Int64("version", u.proof.version).Str("loaded_by", string(u.proof.origin)).Bool("proven", u.proof.state == loadProven).Dur("took", bootclock.Now()-begun).Int64("orders_accepted", u.report.OrdersAccepted).Time("engine_started", u.report.StartedAt).Msg("staged chunks compared with the loaded version")
	return fetchErr
}

// targetOf returns the target of the version, or one of its own for a version that is not a target.
func (u *updater) targetOf(version int64) *targetVersion {
	for _, target := range u.targets {
		if target.version == version {
			return target
		}
	}
	if u.ordered != nil && u.ordered.target.version == version {
		return u.ordered.target
	}
	if u.loadedTarget == nil || u.loadedTarget.version != version {
		now := bootclock.Now()
		u.loadedTarget = newTarget(u.model, version, now)
	}
	return u.loadedTarget
}

// readStaged returns the digests of all staged chunks, "" for one that is missing.
func (u *updater) readStaged(ctx context.Context) ([]weights.Digest, error) {
	held, err := u.sidecar.engine.StagedChunks(ctx, u.model)
	if err != nil {
		return nil, err
	}
	var digests []weights.Digest
	for _, chunk := range held {
		raw, err := u.sidecar.engine.ReadStagedChunk(ctx, u.model, chunk)
		if fault.Is(err, fault.NotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		for len(digests) <= chunk {
			digests = append(digests, "")
		}
		digests[chunk] = weights.Sum(raw)
	}
	return digests, nil
}

func matches(staged []weights.Digest, manifest *weights.Manifest) bool {
	return len(staged) >= len(manifest.Chunks) && slices.Equal(staged[:len(manifest.Chunks)], manifest.Chunks)
}

// holdsOtherVersion reports whether a staged chunk belongs to another target than the given one.
func (u *updater) holdsOtherVersion(staged []weights.Digest, loaded *targetVersion) bool {
	for _, target := range u.targets {
		if target.version == loaded.version || target.manifest == nil {
			continue
		}
		for chunk, digest := range target.manifest.Chunks[:min(len(staged), len(target.manifest.Chunks))] {
			isLoaded := loaded.manifest != nil && chunk < len(loaded.manifest.Chunks) && loaded.manifest.Chunks[chunk] == digest
			if staged[chunk] == digest && !isLoaded {
				return true
			}
		}
	}
	return false
}

// mayHaveRewritten reports whether this process may have written a good chunk of the version after the engine had taken a bad one: it
// has written since the last report before the order's acceptance, or a write of the version is open.
func (u *updater) mayHaveRewritten(version int64) bool {
	if u.lastWriteAt > u.acceptedAfter && u.acceptedAfter > 0 {
		return true
	}
	for _, write := range u.openWrites {
		isOpen := write.report.StartedAt.Equal(u.report.StartedAt) && bootclock.Now() < write.sentAt+lateCallTime
		if isOpen && write.version == version && !u.orderedInTime {
			return true
		}
	}
	return false
}

// giveUpLoad orders the engine to give up the refuted weights, since it does not load a version again that it holds.
func (u *updater) giveUpLoad(ctx context.Context) error {
	s := u.sidecar
	if !s.orders.begin() {
		return nil
	}
	outcome, err := s.engine.Unload(ctx, u.model, u.proof.version, u.report.OrdersAccepted)
	s.orders.setOpen(u.open != nil)
	entry := s.logger.Warn().Str("model", string(u.model)).Int64("version", u.proof.version).Str("loaded_by", string(u.proof.origin)).Int("outcome", int(outcome)).Int64("orders_accepted", u.report.OrdersAccepted).Err(err)
	if err == nil && outcome == LoadRejected || fault.Is(err, fault.EndpointFault) {
		u.proof.keeps = !u.hasAcceptedSince(ctx)
	}
	if u.proof.keeps {
		entry.Msg("engine does not give up weights that may be incomplete or mixed; it takes no requests until it is started again or loads a newer version")
		return err
	}
	entry.Msg("loaded weights may be incomplete or mixed; engine ordered to give them up")
	return err
}

// hasAcceptedSince reports whether the engine has accepted another order or started again since the last report, or may have.
func (u *updater) hasAcceptedSince(ctx context.Context) bool { return u.confirmReport(ctx) != nil }
