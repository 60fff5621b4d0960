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
	originPieceBytes = 1 << 20 // bytes that a paced fetch asks the origin for at once
	originTimeout    = time.Minute
	headerBytes      = 300 // of one chunk request with the header of its answer
)

// apply performs on the control thread what must not wait.
func (d *Distributor) apply(effect reduce.Effect) bool {
	switch effect := effect.(type) {
	case plan.CancelFetch:
		d.cancel(effect.Fetch)
	case plan.AnswerUpload:
		d.answer(effect)
	case plan.Progress:
		d.note(effect)
	default:
		return false
	}
	return true
}

func (d *Distributor) cancel(id plan.FetchID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stop := d.fetches[id]; stop != nil {
		stop()
	}
}

func (d *Distributor) answer(effect plan.AnswerUpload) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if waiting := d.uploads[effect.Upload]; waiting != nil {
		waiting <- effect.Result
		delete(d.uploads, effect.Upload)
	}
}

func (d *Distributor) note(progress plan.Progress) {
	have := d.planner.Map(progress.Version)
	d.mu.Lock()
	d.progress[progress.Version] = progress
	d.maps[progress.Version] = have
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
	case plan.SendMap:
		d.sendMap(ctx, effect)
	}
}

func (d *Distributor) fetch(ctx context.Context, effect plan.FetchChunk) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d.mu.Lock()
	d.fetches[effect.Fetch] = stop
	manifest, ok := d.manifests[effect.Version]
	source := d.addresses[effect.Source]
	d.mu.Unlock()
	result := plan.Unreachable
	begun := time.Now()
	if ok {
		result = d.fetchFrom(ctx, manifest, effect, source)
	}
	d.options.Logger.Debug().Str("version", string(effect.Version)).Int("chunk", effect.Index).Str("source", string(effect.Source)).Int("result", int(result)).Dur("took", time.Since(begun)).Msg("chunk fetched")
	d.mu.Lock()
	delete(d.fetches, effect.Fetch)
	d.mu.Unlock()
	d.loop.Post(ctx, plan.FetchEnded{Stamp: d.stamp(), Fetch: effect.Fetch, Result: result})
}

func (d *Distributor) fetchFrom(ctx context.Context, manifest weights.Manifest, effect plan.FetchChunk, source core.Host) plan.Result {
	digest := manifest.Chunks[effect.Index]
	offset, length := manifest.Range(effect.Index)
	var raw []byte
	var result plan.Result
	if effect.Source == "" {
		raw, result = d.fromOrigin(ctx, manifest.Object, offset, length, effect.Rate)
	} else {
		raw, result = d.fromPeer(ctx, source, digest, length, effect.Rate)
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

// fromOrigin reads a range at the rate, piece by piece, so that a bound on the link between regions holds at any time.
func (d *Distributor) fromOrigin(ctx context.Context, object string, offset, length, rate int64) ([]byte, plan.Result) {
	pace := newLink(rate)
	raw := make([]byte, 0, length)
	for int64(len(raw)) < length {
		piece := min(originPieceBytes, length-int64(len(raw)))
		call, stop := context.WithTimeout(ctx, originTimeout)
		part, err := d.options.Origin.FetchRange(call, object, offset+int64(len(raw)), piece)
		stop()
		if err != nil {
			d.options.Logger.Warn().Err(err).Msg("origin gave no chunk")
			return nil, plan.Unreachable
		}
		raw = append(raw, part...)
		d.received.Add(int64(len(part)))
		if d.down.pass(ctx, len(part)) != nil || pace.pass(ctx, len(part)) != nil {
			return nil, plan.Stalled
		}
	}
	return raw, plan.Verified
}

func (d *Distributor) fromPeer(ctx context.Context, source core.Host, digest weights.Digest, length, rate int64) ([]byte, plan.Result) {
	d.control.Add(headerBytes)
	answer, err := d.client.Do(stream.Request{Method: http.MethodGet, URL: "http://" + source.DataAddress + wire.PathChunks + string(digest)})
	if err != nil {
		return nil, plan.Unreachable
	}
	defer answer.Close()
	if result := resultOf(answer.Status); result != plan.Granted {
		_, _ = io.Copy(io.Discard, answer)
		return nil, result
	}
	return d.readChunk(ctx, answer, length, newLink(rate))
}

// readChunk reads at most the chunk's length: a peer that sends more is not followed.
func (d *Distributor) readChunk(ctx context.Context, answer io.Reader, length int64, pace *link) ([]byte, plan.Result) {
	raw := make([]byte, length)
	read := 0
	for read < len(raw) {
		n, err := answer.Read(raw[read:min(len(raw), read+pieceBytes)])
		read += n
		d.received.Add(int64(n))
		if d.down.pass(ctx, n) != nil || pace.pass(ctx, n) != nil {
			return nil, plan.Stalled
		}
		if err != nil && read < len(raw) {
			return nil, plan.Stalled
		}
	}
	_, _ = answer.Read(make([]byte, 1)) // the end of the body, so that the connection can be used again
	return raw, plan.Verified
}

func resultOf(status int) plan.Result {
	switch status {
	case http.StatusOK:
		return plan.Granted
	case wire.StatusChunkBusy:
		return plan.Busy
	case wire.StatusChunkSpent:
		return plan.Spent
	case wire.StatusChunkGivenOut:
		return plan.GivenOut
	case wire.StatusChunkDropped:
		return plan.Dropped
	case wire.StatusChunkMissing:
		return plan.Missing
	}
	return plan.Unreachable
}

func (d *Distributor) sendMap(ctx context.Context, effect plan.SendMap) {
	d.mu.Lock()
	host, ok := d.addresses[effect.Host]
	d.mu.Unlock()
	if !ok {
		return
	}
	call, stop := context.WithTimeout(ctx, mapTimeout)
	defer stop()
	request := wire.Map{Host: d.options.Self.ID, Version: effect.Version, Have: effect.Have.Bytes()}
	var answer wire.Map
	if err := d.options.Peers.Call(call, host.ControlAddress, wire.MethodMap, request, &answer); err != nil {
		d.loop.Post(ctx, plan.MapFailed{Stamp: d.stamp(), Host: effect.Host})
		return
	}
	d.control.Add(int64(mapBytes(request) + mapBytes(answer)))
	if have := d.bitmapOf(answer); have != nil {
		d.loop.Post(ctx, plan.MapReceived{Stamp: d.stamp(), Asked: true, Host: effect.Host, Version: effect.Version, Have: have})
	}
}
