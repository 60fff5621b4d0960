package distribution

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/weights/plan"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	maxOriginReadBytes   = 1 << 20 // upper bound of a single read from the origin
	originReadTimeout    = time.Minute
	requestOverheadBytes = 300 // estimate for a chunk request and the header of its response
)

// apply performs the effects that do not block, on the control thread. It returns false for all others, which are left to
// perform.
func (d *Distributor) apply(effect reduce.Effect) bool {
	switch effect := effect.(type) {
	case plan.CancelFetch:
		d.cancelFetch(effect.FetchID)
	case plan.AnswerUpload:
		d.answerUpload(effect)
	case plan.Progress:
		d.recordProgress(effect)
	default:
		return false
	}
	return true
}

func (d *Distributor) cancelFetch(id plan.FetchID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel := d.cancelFetches[id]; cancel != nil {
		cancel()
	}
}

func (d *Distributor) answerUpload(effect plan.AnswerUpload) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if decision := d.uploadDecisions[effect.UploadID]; decision != nil {
		decision <- effect.Result
		delete(d.uploadDecisions, effect.UploadID)
	}
}

func (d *Distributor) recordProgress(progress plan.Progress) {
	have := d.planner.ChunkMap(progress.Version)
	d.mu.Lock()
	d.progress[progress.Version] = progress
	d.chunkMaps[progress.Version] = have
	d.mu.Unlock()
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

func (d *Distributor) perform(ctx context.Context, effect reduce.Effect) {
	switch effect := effect.(type) {
	case plan.FetchChunk:
		d.fetch(ctx, effect)
	case plan.ExchangeChunkMap:
		d.exchangeChunkMap(ctx, effect)
	}
}

func (d *Distributor) fetch(ctx context.Context, effect plan.FetchChunk) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mu.Lock()
	d.cancelFetches[effect.FetchID] = cancel
	manifest, ok := d.manifests[effect.Version]
	source := d.hosts[effect.Source]
	d.mu.Unlock()
	result := plan.Unreachable
	started := time.Now()
	if ok {
		result = d.fetchAndStore(ctx, manifest, effect, source)
	}
	d.options.Logger.Debug().Str("version", string(effect.Version)).Int("chunk", effect.Index).Str("source", string(effect.Source)).Int("result", int(result)).Dur("took", time.Since(started)).Msg("chunk fetched")
	d.mu.Lock()
	delete(d.cancelFetches, effect.FetchID)
	d.mu.Unlock()
	d.loop.Post(ctx, plan.FetchEnded{Timestamp: d.timestamp(), FetchID: effect.FetchID, Result: result})
}

func (d *Distributor) fetchAndStore(ctx context.Context, manifest weights.Manifest, effect plan.FetchChunk, source core.Host) plan.Result {
	digest := manifest.Chunks[effect.Index]
	offset, length := manifest.Range(effect.Index)
	var raw []byte
	var result plan.Result
	if effect.Source == "" {
		raw, result = d.fetchFromOrigin(ctx, manifest.Object, effect.Index, offset, length, effect.BytesPerS)
	} else {
		raw, result = d.fetchFromPeer(ctx, source, digest, length, effect)
	}
	if result != plan.Verified {
		return result
	}
	err := d.options.Store.Put(digest, raw)
	if err == nil {
		return plan.Verified
	}
	d.options.Logger.Warn().Err(err).Str("source", string(effect.Source)).Str("version", string(effect.Version)).Int("chunk", effect.Index).Msg("chunk not kept")
	if fault.Is(err, fault.Corrupted) {
		return plan.Corrupt
	}
	return plan.Busy
}

// fetchFromOrigin reads a chunk of the object at the given rate. It reads ranges in small pieces, so that the limit on the
// cross-region link also holds over short periods.
func (d *Distributor) fetchFromOrigin(ctx context.Context, object string, index int, offset, length, bytesPerS int64) ([]byte, plan.Result) {
	pacer := newPacer(bytesPerS)
	if d.options.ChunkOrigin != nil {
		raw, err := d.options.ChunkOrigin.FetchChunk(ctx, object, index)
		if err != nil {
			d.options.Logger.Warn().Err(err).Msg("origin gave no chunk")
			return nil, plan.Unreachable
		}
		d.receivedBytes.Add(int64(len(raw)))
		if d.downlink.wait(ctx, len(raw)) != nil || pacer.wait(ctx, len(raw)) != nil {
			return nil, plan.Stalled
		}
		return raw, plan.Verified
	}
	raw := make([]byte, 0, length)
	for int64(len(raw)) < length {
		readLength := min(maxOriginReadBytes, length-int64(len(raw)))
		readCtx, cancel := context.WithTimeout(ctx, originReadTimeout)
		part, err := d.options.Origin.FetchRange(readCtx, object, offset+int64(len(raw)), readLength)
		cancel()
		if err != nil {
			d.options.Logger.Warn().Err(err).Msg("origin gave no chunk")
			return nil, plan.Unreachable
		}
		raw = append(raw, part...)
		d.receivedBytes.Add(int64(len(part)))
		if d.downlink.wait(ctx, len(part)) != nil || pacer.wait(ctx, len(part)) != nil {
			return nil, plan.Stalled
		}
	}
	return raw, plan.Verified
}

func (d *Distributor) fetchFromPeer(ctx context.Context, source core.Host, digest weights.Digest, length int64, effect plan.FetchChunk) ([]byte, plan.Result) {
	d.controlBytes.Add(requestOverheadBytes)
	request := stream.Request{Method: http.MethodGet, Address: source.DataAddress, Target: wire.PathChunks + string(digest)}
	request.Header = map[string]string{wire.HeaderForVersion: string(effect.Version)}
	if effect.ForRegion {
		request.Header[wire.HeaderForRegion] = "1"
	}
	response, err := d.client.Do(ctx, request)
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, plan.Stalled
	case err != nil:
		return nil, plan.Unreachable
	}
	defer response.Close()
	if result := resultForStatus(response.Status); result != plan.Granted {
		response.Discard()
		return nil, result
	}
	return d.readChunk(ctx, response, length, newPacer(effect.BytesPerS))
}

// readChunk reads length bytes and ignores any bytes that a peer sends beyond them.
func (d *Distributor) readChunk(ctx context.Context, body io.Reader, length int64, pacer *pacer) ([]byte, plan.Result) {
	raw := make([]byte, length)
	read := 0
	for read < len(raw) {
		n, err := body.Read(raw[read:min(len(raw), read+maxReadBytes)])
		read += n
		d.receivedBytes.Add(int64(n))
		if d.downlink.wait(ctx, n) != nil || pacer.wait(ctx, n) != nil {
			return nil, plan.Stalled
		}
		if err != nil && read < len(raw) {
			return nil, plan.Stalled
		}
	}
	_, _ = body.Read(make([]byte, 1)) // reads EOF, so that the connection can be reused
	return raw, plan.Verified
}

func resultForStatus(status int) plan.Result {
	switch status {
	case http.StatusOK:
		return plan.Granted
	case wire.StatusChunkBusy:
		return plan.Busy
	case wire.StatusChunkVersionLimit:
		return plan.VersionLimitReached
	case wire.StatusChunkUploadLimit:
		return plan.ChunkLimitReached
	case wire.StatusChunkOtherDigest:
		return plan.OtherDigest
	case wire.StatusChunkNotWanted:
		return plan.NotWanted
	case wire.StatusChunkMissing:
		return plan.Missing
	}
	return plan.Unreachable
}

func (d *Distributor) exchangeChunkMap(ctx context.Context, effect plan.ExchangeChunkMap) {
	d.mu.Lock()
	host, ok := d.hosts[effect.Host]
	d.mu.Unlock()
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, chunkMapExchangeTimeout)
	defer cancel()
	request := wire.ChunkMap{Host: d.options.Self.ID, Version: effect.Version, Have: effect.Have.Bytes()}
	var answer wire.ChunkMap
	if err := d.options.Peers.Call(callCtx, host.ControlAddress, wire.MethodChunkMap, request, &answer); err != nil {
		d.loop.Post(ctx, plan.ChunkMapFailed{Timestamp: d.timestamp(), Host: effect.Host})
		return
	}
	d.controlBytes.Add(int64(chunkMapMessageBytes(request) + chunkMapMessageBytes(answer)))
	if have := d.decodeChunkMap(answer); have != nil {
		d.loop.Post(ctx, plan.ChunkMapReceived{Timestamp: d.timestamp(), IsReply: true, Host: effect.Host, Version: effect.Version, Have: have})
	}
}
