package agent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/routing"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/weights/changeover"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// mayLoad has an engine that serves an accepted version wait for its turn among the hosts that change over with it. An
// engine that serves none loses nothing by loading at once.
func (l *loader) mayLoad(ctx context.Context, version core.VersionID) bool {
	view := l.view.Load()
	self := l.agent.settings.Host.ID
	if view == nil || view.Snapshot == nil || !l.servesAccepted(view.Snapshot) {
		return true
	}
	l.tell(ctx, version, wire.VersionVerified, "")
	if l.wholeAt.IsZero() {
		l.wholeAt = time.Now()
	}
	return time.Since(l.wholeAt) >= turnDelay && changeover.MayLoad(view, self, version)
}

func (l *loader) servesAccepted(snapshot *config.Snapshot) bool {
	service := snapshot.ServiceForHost(l.agent.settings.Host.ID)
	return service != nil && slices.Contains(routing.AcceptedVersions(snapshot, service.Name), l.serving())
}

// order gives the engine the weights and reads back what it holds before the version is advertised. The version that
// served until now serves no new requests from here on, and those that run end first.
func (l *loader) order(ctx context.Context, version core.VersionID, manifest weights.Manifest) error {
	l.wholeAt = time.Time{}
	l.advertised.Store(false)
	l.tell(ctx, version, wire.VersionLoading, "")
	l.awaitIdle(ctx)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout+time.Duration(manifest.SizeBytes/loadBytesPerS)*time.Second)
	defer cancel()
	if err := l.takeFence(ctx); err != nil {
		return err
	}
	if old := l.held.Swap(nil); old != nil && old.version != version {
		l.former = old.version
	}
	contents, err := l.load(ctx, version, manifest)
	if err != nil {
		return err
	}
	state, err := l.agent.engine.State(ctx)
	if err != nil {
		return err
	}
	held := &loaded{version: version, contents: contents, life: state.Incarnation, fence: l.fence}
	if !held.matches(state) {
		return fault.New(fault.EndpointFault, "the engine holds "+string(state.Version)+" instead of what was ordered", "check the engine; the order is given again")
	}
	l.agent.gate.ResetToCold()
	l.held.Store(held)
	l.advertised.Store(true)
	l.tell(ctx, version, wire.VersionServing, "")
	return nil
}

// load streams the weights and returns their SHA-256 in lower-case hex.
func (l *loader) load(ctx context.Context, version core.VersionID, manifest weights.Manifest) (string, error) {
	reader, err := l.agent.store.Reader(manifest)
	if err != nil {
		return "", err
	}
	sum := sha256.New()
	order := backend.Order{Version: version, Fence: l.fence}
	if err := l.agent.engine.Load(ctx, order, io.TeeReader(reader, sum), manifest.SizeBytes); err != nil {
		return "", err
	}
	return hex.EncodeToString(sum.Sum(nil)), nil
}

// takeFence draws the number of the next order, above all that the engine has seen. An agent that finds a higher number
// than its own in the same life of the engine has been superseded and orders nothing.
func (l *loader) takeFence(ctx context.Context) error {
	state, err := l.agent.engine.State(ctx)
	if err != nil {
		return err
	}
	if l.fence > 0 && state.Fence > l.fence {
		return fault.New(fault.Conflict, "another process orders this engine", "end the process that holds this host's slot without right, or restart this agent to take the engine over")
	}
	l.fence = max(l.fence, state.Fence) + 1
	return nil
}

// awaitIdle waits until no request runs at the engine, for a bounded time.
func (l *loader) awaitIdle(ctx context.Context) {
	limit := time.Now().Add(idleLimit)
	ticker := time.NewTicker(watchInterval / 10)
	defer ticker.Stop()
	for l.agent.gate.Load().Running > 0 && time.Now().Before(limit) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// withdraw has the engine drop the version that it holds, when no version is wanted here any more.
func (l *loader) withdraw(ctx context.Context) error {
	held := l.held.Load()
	l.ask(ctx, nil)
	if held == nil {
		l.forget(ctx)
		return nil
	}
	l.advertised.Store(false)
	l.awaitIdle(ctx)
	l.held.Store(nil)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := l.takeFence(ctx); err != nil {
		return err
	}
	if err := l.agent.engine.Unload(ctx, backend.Order{Fence: l.fence}); err != nil {
		return err
	}
	l.forget(ctx)
	return nil
}

// versions answers MethodVersions.
func (l *loader) versions(context.Context, struct{}) ([]wire.VersionProgress, error) {
	status := l.report.Load()
	if status == nil {
		return []wire.VersionProgress{}, nil
	}
	progress := wire.VersionProgress{VersionStatus: *status}
	if fetched, ok := l.distributor.Progress(status.Version); ok {
		progress.Have, progress.Total = fetched.Have, fetched.Total
		progress.RemainingS = fetched.Remaining.Seconds()
	}
	return []wire.VersionProgress{progress}, nil
}

// tell spreads the phase of a version. Progress within a phase is left to MethodVersions.
func (l *loader) tell(ctx context.Context, version core.VersionID, phase wire.VersionPhase, reason string) {
	last := l.report.Load()
	if last != nil && last.Version == version && last.Phase == phase && last.Reason == reason {
		return
	}
	manifest := l.manifests[version]
	total := len(manifest.Chunks)
	status := wire.VersionStatus{Version: version, Phase: phase, Have: total - len(l.agent.store.Missing(manifest)), Total: total, Reason: reason}
	l.report.Store(&status)
	l.agent.logger.Info().Str("version", string(version)).Str("phase", string(phase)).Int("have", status.Have).Int("total", total).Msg("version phase")
	l.spread(ctx, []wire.VersionStatus{status})
}

func (l *loader) forget(ctx context.Context) {
	if l.report.Swap(nil) != nil {
		l.spread(ctx, nil)
	}
}
