package agent

import "github.com/gofiber/fiber/v3"

// handleChunk serves a verified chunk to a peer.
func (a *Agent) handleChunk(c fiber.Ctx) error { return a.loader.distributor.HandleChunk(c) }
