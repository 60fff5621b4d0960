package distribution

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/rpc"
	"github.com/lovageglade/lovageglade/internal/weights"
	"github.com/lovageglade/lovageglade/internal/weights/plan"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Methods returns the control methods that a distributor answers.
func (d *Distributor) Methods() map[string]rpc.Method {
	return map[string]rpc.Method{wire.MethodMap: rpc.Handle(d.swapMaps)}
}

func (d *Distributor) swapMaps(ctx context.Context, request wire.Map) (wire.Map, error) {
	answer := wire.Map{Host: d.options.Self.ID, Version: request.Version}
	d.mu.Lock()
	if have := d.maps[request.Version]; have != nil {
		answer.Have = have.Bytes()
	}
	d.mu.Unlock()
	d.control.Add(int64(mapBytes(request) + mapBytes(answer)))
	if have := d.bitmapOf(request); have != nil {
		d.loop.Post(ctx, plan.MapReceived{Stamp: d.stamp(), Host: request.Host, Version: request.Version, Have: have})
	}
	return answer, nil
}

// bitmapOf reads the map of a wanted version, nil if it is none.
func (d *Distributor) bitmapOf(message wire.Map) plan.Bitmap {
	d.mu.Lock()
	manifest, ok := d.manifests[message.Version]
	d.mu.Unlock()
	if !ok {
		return nil
	}
	return plan.BitmapOf(message.Have, len(manifest.Chunks))
}

const (
	mapHeaderBytes = 200 // of a JSON-RPC message
	base64Groups   = 3   // bytes that become base64Chars characters
	base64Chars    = 4
)

func mapBytes(message wire.Map) int {
	return mapHeaderBytes + len(message.Have)*base64Chars/base64Groups
}

// HandleChunk serves a verified chunk to a peer.
func (d *Distributor) HandleChunk(c fiber.Ctx) error {
	d.control.Add(headerBytes)
	digest := weights.Digest(strings.Clone(c.Params("digest")))
	id := plan.UploadID(d.lastUpload.Add(1))
	result := d.judge(id, digest)
	if result != plan.Granted {
		return c.SendStatus(statusOf(result))
	}
	ended := func() { d.loop.Post(context.Background(), plan.UploadEnded{Stamp: d.stamp(), Upload: id}) }
	raw := d.options.Store.Get(digest)
	if raw == nil {
		ended()
		return c.SendStatus(wire.StatusChunkMissing)
	}
	d.sent.Add(int64(len(raw)))
	return c.SendStream(&pacedReader{source: bytes.NewReader(raw), link: d.up, closed: ended}, len(raw))
}

// judge asks the planner whether the upload may start.
func (d *Distributor) judge(id plan.UploadID, digest weights.Digest) plan.Result {
	waiting := make(chan plan.Result, 1)
	d.mu.Lock()
	d.uploads[id] = waiting
	d.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), answerTimeout)
	defer stop()
	d.loop.Post(ctx, plan.UploadAsked{Stamp: d.stamp(), Upload: id, Digest: digest})
	select {
	case result := <-waiting:
		return result
	case <-time.After(answerTimeout):
	}
	d.mu.Lock()
	delete(d.uploads, id)
	d.mu.Unlock()
	d.loop.Offer(plan.UploadEnded{Stamp: d.stamp(), Upload: id})
	return plan.Busy
}

func statusOf(result plan.Result) int {
	switch result {
	case plan.Spent:
		return wire.StatusChunkSpent
	case plan.GivenOut:
		return wire.StatusChunkGivenOut
	case plan.Dropped:
		return wire.StatusChunkDropped
	case plan.Missing:
		return wire.StatusChunkMissing
	default:
		return wire.StatusChunkBusy
	}
}
