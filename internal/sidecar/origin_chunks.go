package sidecar

import (
	"context"
	"strconv"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// originChunks fetches chunks from the origin for the distributor. The object name is the version number.
type originChunks struct{ sidecar *Sidecar }

// FetchChunk implements distribution.ChunkOrigin.
func (c *originChunks) FetchChunk(ctx context.Context, object string, index int) ([]byte, error) {
	view := c.sidecar.follower.View()
	model, ok := c.sidecar.model(view)
	version, err := strconv.ParseInt(object, 10, 64)
	if !ok || err != nil {
		return nil, fault.New(fault.NotFound, "version "+object+" is not requested", "wait for the configuration")
	}
	return c.sidecar.origin.Chunk(ctx, view.Origin().Address, model, version, index)
}
