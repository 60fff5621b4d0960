package agent

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	loadRetry     = 500 * time.Millisecond
	chunkTimeout  = 10 * time.Second
	loadTimeout   = time.Minute
	fetchParallel = 4 // chunks under way at once
)

// loader brings the version that the configuration asks for onto the engine.
type loader struct {
	agent  *Agent
	client *stream.Client
	wanted chan core.VersionID
	fence  core.FenceNumber

	mu     sync.Mutex
	status wire.VersionStatus
	served atomic.Pointer[core.VersionID]
}

func newLoader(a *Agent) *loader {
	return &loader{agent: a, client: stream.NewClient(chunkTimeout, fetchParallel), wanted: make(chan core.VersionID, 1)}
}

// want replaces the wanted version. It does not wait.
func (l *loader) want(version core.VersionID) {
	select {
	case <-l.wanted:
	default:
	}
	l.wanted <- version
}

// serving returns the version that the engine was last seen to hold, or "".
func (l *loader) serving() core.VersionID {
	version := l.served.Load()
	if version == nil {
		return ""
	}
	return *version
}

func (l *loader) run(ctx context.Context) {
	var version core.VersionID
	for {
		select {
		case <-ctx.Done():
			return
		case version = <-l.wanted:
		case <-time.After(loadRetry):
		}
		if version == "" || version == l.serving() {
			continue
		}
		if err := l.bring(ctx, version); err != nil {
			l.agent.logger.Warn().Err(err).Str("version", string(version)).Msg("version not loaded yet")
		}
	}
}

func (l *loader) bring(ctx context.Context, version core.VersionID) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	raw, err := l.agent.objects.GetObject(ctx, weights.ManifestFolder+string(version))
	if err != nil {
		return err
	}
	manifest, err := weights.DecodeManifest(raw, version)
	if err != nil {
		return err
	}
	l.report(ctx, version, wire.VersionFetching, manifest)
	if err := l.fetchMissing(ctx, version, manifest); err != nil {
		return err
	}
	l.report(ctx, version, wire.VersionVerified, manifest)
	if err := l.order(ctx, version, manifest); err != nil {
		return err
	}
	l.agent.gate.TurnCold()
	l.served.Store(&version)
	l.report(ctx, version, wire.VersionServing, manifest)
	return nil
}

func (l *loader) fetchMissing(ctx context.Context, version core.VersionID, manifest weights.Manifest) error {
	fetches := pool.New().WithErrors().WithContext(ctx).WithMaxGoroutines(fetchParallel)
	for _, i := range l.agent.store.Missing(manifest) {
		fetches.Go(func(ctx context.Context) error {
			chunk, err := l.fetchChunk(ctx, version, manifest, i)
			if err != nil {
				return err
			}
			return l.agent.store.Put(manifest.Chunks[i], chunk)
		})
	}
	return fetches.Wait()
}

// fetchChunk asks a peer of the region that holds the version, and the origin when none gives the chunk.
func (l *loader) fetchChunk(ctx context.Context, version core.VersionID, manifest weights.Manifest, i int) ([]byte, error) {
	for _, record := range l.agent.node.View().Records {
		if !l.holds(record, version) {
			continue
		}
		chunk, err := l.fetchFromPeer(record, manifest.Chunks[i])
		if err == nil && weights.Sum(chunk) == manifest.Chunks[i] {
			return chunk, nil
		}
	}
	offset, length := manifest.Range(i)
	return l.agent.origin.FetchRange(ctx, manifest.Object, offset, length)
}

func (l *loader) holds(record wire.Record, version core.VersionID) bool {
	if record.Host.Region != l.agent.settings.Host.Region {
		return false
	}
	for _, status := range record.Versions {
		if status.Version == version && status.Phase != wire.VersionFetching {
			return true
		}
	}
	return false
}

func (l *loader) fetchFromPeer(record wire.Record, digest weights.Digest) ([]byte, error) {
	answer, err := l.client.Do(stream.Request{Method: "GET", URL: "http://" + record.Host.DataAddress + wire.PathChunks + string(digest)})
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	return readAll(answer)
}

// order gives the engine the weights and reads back what it holds before the version is advertised.
func (l *loader) order(ctx context.Context, version core.VersionID, manifest weights.Manifest) error {
	before, err := l.agent.engine.State(ctx)
	if err != nil {
		return err
	}
	l.fence = max(l.fence, before.Fence) + 1
	reader, err := l.agent.store.Reader(manifest)
	if err != nil {
		return err
	}
	if err := l.agent.engine.Load(ctx, backend.Order{Version: version, Fence: l.fence}, reader, manifest.SizeBytes); err != nil {
		return err
	}
	after, err := l.agent.engine.State(ctx)
	if err != nil {
		return err
	}
	if after.Version != version {
		return fault.New(fault.EndpointFault, "the engine holds "+string(after.Version)+" instead of what was ordered", "order again")
	}
	return nil
}

func (l *loader) report(ctx context.Context, version core.VersionID, phase wire.VersionPhase, manifest weights.Manifest) {
	total := len(manifest.Chunks)
	status := wire.VersionStatus{Version: version, Phase: phase, Have: total - len(l.agent.store.Missing(manifest)), Total: total}
	l.mu.Lock()
	l.status = status
	l.mu.Unlock()
	l.agent.node.Loop.Post(ctx, node.VersionsChanged{Versions: []wire.VersionStatus{status}})
}

func readAll(answer *stream.Response) ([]byte, error) {
	if answer.Status != http.StatusOK {
		return nil, fault.New(fault.NotFound, "the peer does not hold the chunk", "ask another source")
	}
	return io.ReadAll(answer)
}
