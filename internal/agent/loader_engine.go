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

// mayLoad reports whether the engine may load the version now. An engine that serves an accepted version waits for
// its turn among the hosts that change to the new one. Other engines serve nothing and load immediately.
func (l *loader) mayLoad(ctx context.Context, version core.VersionID) bool {
	view := l.view.Load()
	self := l.agent.settings.Host.ID
	if view == nil || view.Snapshot == nil || !l.servesAcceptedVersion(view.Snapshot) {
		return true
	}
	l.setStatus(ctx, version, wire.VersionVerified, "")
	if l.completeSince.IsZero() {
		l.completeSince = time.Now()
	}
	return time.Since(l.completeSince) >= changeoverDelay && changeover.MayLoad(view, self, version)
}

func (l *loader) servesAcceptedVersion(snapshot *config.Snapshot) bool {
	service := snapshot.ServiceForHost(l.agent.settings.Host.ID)
	return service != nil && slices.Contains(routing.AcceptedVersions(snapshot, service.Name), l.servedVersion())
}

// loadEngine loads the weights into the engine and checks what it holds before advertising the version. The version
// served until now gets no new requests from here on, and its running requests finish first.
func (l *loader) loadEngine(ctx context.Context, version core.VersionID, manifest weights.Manifest) error {
	l.completeSince = time.Time{}
	l.advertised.Store(false)
	l.setStatus(ctx, version, wire.VersionLoading, "")
	l.awaitIdle(ctx)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout+time.Duration(manifest.SizeBytes/minLoadBytesPerS)*time.Second)
	defer cancel()
	if err := l.drawFence(ctx); err != nil {
		return err
	}
	if replaced := l.loaded.Swap(nil); replaced != nil && replaced.version != version {
		l.previous = replaced.version
	}
	sum, err := l.streamWeights(ctx, version, manifest)
	if err != nil {
		return err
	}
	state, err := l.agent.engine.State(ctx)
	if err != nil {
		return err
	}
	loaded := &loadedVersion{version: version, sha256: sum, incarnation: state.Incarnation, fence: l.fence}
	if !loaded.matches(state) {
		return fault.New(fault.EndpointFault, "the engine holds "+string(state.Version)+" instead of what was ordered", "check the engine; the load is retried")
	}
	l.agent.gate.ResetToCold()
	l.loaded.Store(loaded)
	l.advertised.Store(true)
	l.setStatus(ctx, version, wire.VersionServing, "")
	return nil
}

// streamWeights sends the weights to the engine and returns their SHA-256 in lower-case hex.
func (l *loader) streamWeights(ctx context.Context, version core.VersionID, manifest weights.Manifest) (string, error) {
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

// drawFence sets the fencing token of the next command, higher than any that the engine has seen. If the engine has
// seen a higher one than this agent last drew, another agent has taken over and drawFence returns a Conflict. It
// does not check this before the agent's first command.
func (l *loader) drawFence(ctx context.Context) error {
	state, err := l.agent.engine.State(ctx)
	if err != nil {
		return err
	}
	if l.fence > 0 && state.Fence > l.fence {
		return fault.New(fault.Conflict, "another process orders this engine", "stop the other process if it should not use this host's slot, or restart this agent to take over the engine")
	}
	l.fence = max(l.fence, state.Fence) + 1
	return nil
}

// awaitIdle waits until no request runs at the engine, at most for idleTimeout.
func (l *loader) awaitIdle(ctx context.Context) {
	deadline := time.Now().Add(idleTimeout)
	ticker := time.NewTicker(pollInterval / 10)
	defer ticker.Stop()
	for l.agent.gate.Load().Running > 0 && time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// unloadEngine makes the engine drop its version when this host has no target version any more.
func (l *loader) unloadEngine(ctx context.Context) error {
	loaded := l.loaded.Load()
	l.setVersions(ctx, nil)
	if loaded == nil {
		l.clearStatus(ctx)
		return nil
	}
	l.advertised.Store(false)
	l.awaitIdle(ctx)
	l.loaded.Store(nil)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := l.drawFence(ctx); err != nil {
		return err
	}
	if err := l.agent.engine.Unload(ctx, backend.Order{Fence: l.fence}); err != nil {
		return err
	}
	l.clearStatus(ctx)
	return nil
}

// versions implements MethodVersions.
func (l *loader) versions(context.Context, struct{}) ([]wire.VersionProgress, error) {
	status := l.status.Load()
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

// setStatus publishes the phase of a version if it changed. Progress within a phase is only available from
// MethodVersions.
func (l *loader) setStatus(ctx context.Context, version core.VersionID, phase wire.VersionPhase, reason string) {
	previous := l.status.Load()
	if previous != nil && previous.Version == version && previous.Phase == phase && previous.Reason == reason {
		return
	}
	manifest := l.manifests[version]
	total := len(manifest.Chunks)
	status := wire.VersionStatus{Version: version, Phase: phase, Have: total - len(l.agent.store.Missing(manifest)), Total: total, Reason: reason}
	l.status.Store(&status)
	l.agent.logger.Info().Str("version", string(version)).Str("phase", string(phase)).Int("have", status.Have).Int("total", total).Msg("version phase")
	l.publishVersions(ctx, []wire.VersionStatus{status})
}

func (l *loader) clearStatus(ctx context.Context) {
	if l.status.Swap(nil) != nil {
		l.publishVersions(ctx, nil)
	}
}
