package agent

import (
	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/weights"
)

// handleChunk serves a verified chunk to a peer.
func (a *Agent) handleChunk(c fiber.Ctx) error {
	raw := a.store.Get(weights.Digest(c.Params("digest")))
	if raw == nil {
		return c.SendStatus(fiber.StatusNotFound)
	}
	return c.Send(raw)
}
