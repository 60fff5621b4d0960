package entry

import (
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/expvar"

	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/graceful"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

func (e *Entry) routes() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: e.settings.MaxBodyBytes, ErrorHandler: handleHTTPError, StreamRequestBody: true})
	app.Use(graceful.ReadBody(int64(e.settings.MaxBodyBytes)))
	app.Use(graceful.CloseWhile(&e.draining))
	app.Use(expvar.New())
	app.Get("/readyz", e.handleReady)
	app.All(pathChat, e.handleRequest)
	app.All(prefixServices+"*", e.handleRequest)
	return app
}

func (e *Entry) handleReady(c fiber.Ctx) error {
	if e.draining.Load() || !e.node.Fresh() {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.SendString("ready\n")
}

func (e *Entry) handleRequest(c fiber.Ctx) error {
	snapshot := e.node.View().Snapshot
	if snapshot == nil {
		err := fault.New(fault.NotReady, "this entry has no configuration yet", "retry after the time in Retry-After")
		return sendRefusal(c, fault.WithRetryAfter(err, 1), earlyRefusalOutcome(hasUsableKey(c)))
	}
	parsed, err := parseRequest(c, snapshot, time.Now())
	if err != nil {
		telemetry.RequestRefused(fault.Kind(err))
		return sendRefusal(c, err, earlyRefusalOutcome(hasUsableKey(c)))
	}
	answer := newAnswer(e.answers)
	go newForwarder(e, parsed, e.observer.newObservation(parsed, answer)).run()
	<-answer.ready
	if answer.isStreaming() {
		c.Set(fiber.HeaderContentType, answer.contentType)
		return c.Status(answer.status).SendStreamWriter(answer.writeStream)
	}
	return answer.sendBody(c)
}

// hasUsableKey reports whether an earlier request with the same Idempotency-Key can have run. No request with a malformed key
// is dispatched.
func hasUsableKey(c fiber.Ctx) bool {
	key := c.Get(headerIdempotencyKey)
	return key != "" && checkIdempotencyKey(key) == nil
}

func sendRefusal(c fiber.Ctx, err error, outcome fault.Outcome) error {
	refusal := fault.RefusalOf(err, outcome)
	if refusal.RetryAfterS > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(refusal.RetryAfterS))
	}
	return c.Status(fault.StatusOf(refusal.Kind)).JSON(refusal)
}
