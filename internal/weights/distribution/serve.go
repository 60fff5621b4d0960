package distribution

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/weights/plan"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Methods returns the distributor's control methods by name.
func (d *Distributor) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{wire.MethodChunkMap: rpc.Handle(d.handleChunkMapExchange)}
}

func (d *Distributor) handleChunkMapExchange(ctx context.Context, request wire.ChunkMap) (wire.ChunkMap, error) {
	answer := wire.ChunkMap{Host: d.options.Self.ID, Version: request.Version}
	d.mu.Lock()
	if have := d.chunkMaps[request.Version]; have != nil {
		answer.Have = have.Bytes()
	}
	d.mu.Unlock()
	d.controlBytes.Add(int64(chunkMapMessageBytes(request) + chunkMapMessageBytes(answer)))
	if have := d.decodeChunkMap(request); have != nil {
		d.loop.Post(ctx, plan.ChunkMapReceived{Timestamp: d.timestamp(), Host: request.Host, Version: request.Version, Have: have})
	}
	return answer, nil
}

// decodeChunkMap returns the chunks listed in the message. It returns nil if the version is not wanted or the chunk map
// has the wrong length.
func (d *Distributor) decodeChunkMap(message wire.ChunkMap) plan.Bitmap {
	d.mu.Lock()
	manifest, ok := d.manifests[message.Version]
	d.mu.Unlock()
	if !ok {
		return nil
	}
	return plan.DecodeBitmap(message.Have, len(manifest.Chunks))
}

const (
	rpcOverheadBytes = 200 // estimate for a JSON-RPC message without the chunk map
	base64GroupBytes = 3   // input bytes of a base64 group
	base64GroupChars = 4   // output characters of a base64 group
)

func chunkMapMessageBytes(message wire.ChunkMap) int {
	return rpcOverheadBytes + len(message.Have)*base64GroupChars/base64GroupBytes
}

// HandleChunk serves a verified chunk to a peer. If the upload is refused, the status code gives the reason.
func (d *Distributor) HandleChunk(c fiber.Ctx) error {
	d.controlBytes.Add(requestOverheadBytes)
	digest := weights.Digest(strings.Clone(c.Params("digest")))
	id := plan.UploadID(d.lastUploadID.Add(1))
	result := d.requestUpload(plan.UploadRequested{Timestamp: d.timestamp(), UploadID: id, Digest: digest, Version: core.VersionID(strings.Clone(c.Get(wire.HeaderForVersion))), ForRegion: c.Get(wire.HeaderForRegion) != ""})
	if result != plan.Granted {
		return c.SendStatus(statusForResult(result))
	}
	postEnded := func() { d.loop.Post(context.Background(), plan.UploadEnded{Timestamp: d.timestamp(), UploadID: id}) }
	raw := d.options.Store.Get(digest)
	if raw == nil {
		postEnded()
		return c.SendStatus(wire.StatusChunkMissing)
	}
	d.sentBytes.Add(int64(len(raw)))
	return c.SendStream(&pacedReader{source: bytes.NewReader(raw), pacer: d.uplink, onClose: postEnded}, len(raw))
}

// requestUpload asks the planner whether the upload may start. It returns Busy if the planner does not decide within
// uploadDecisionTimeout.
func (d *Distributor) requestUpload(request plan.UploadRequested) plan.Result {
	id := request.UploadID
	decision := make(chan plan.Result, 1)
	d.mu.Lock()
	d.uploadDecisions[id] = decision
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), uploadDecisionTimeout)
	defer cancel()
	d.loop.Post(ctx, request)
	select {
	case result := <-decision:
		return result
	case <-time.After(uploadDecisionTimeout):
	}
	d.mu.Lock()
	delete(d.uploadDecisions, id)
	d.mu.Unlock()
	d.loop.TryPost(plan.UploadEnded{Timestamp: d.timestamp(), UploadID: id})
	return plan.Busy
}

func statusForResult(result plan.Result) int {
	switch result {
	case plan.VersionLimitReached:
		return wire.StatusChunkVersionLimit
	case plan.ChunkLimitReached:
		return wire.StatusChunkUploadLimit
	case plan.OtherDigest:
		return wire.StatusChunkOtherDigest
	case plan.NotWanted:
		return wire.StatusChunkNotWanted
	case plan.Missing:
		return wire.StatusChunkMissing
	default:
		return wire.StatusChunkBusy
	}
}
