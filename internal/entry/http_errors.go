package entry

import (
	"errors"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// Limits on reading and dropping the rest of a request that was rejected before all of it was read.
const (
	maxDiscardBytes    = 64 << 20
	maxDiscardTime     = 2 * time.Second
	discardIdleTimeout = 100 * time.Millisecond // without a byte; the caller is then assumed to have sent everything
	discardBufferBytes = 32 << 10
)

// handleHTTPError answers a request that the HTTP library rejected before a handler saw it, for example because its
// body is too large.
func handleHTTPError(c fiber.Ctx, err error) error {
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) && (fiberErr.Code == fiber.StatusRequestEntityTooLarge || fiberErr.Code == fiber.StatusRequestHeaderFieldsTooLarge) {
		discardUnread(c.RequestCtx().Conn())
	}
	return sendRefusal(c, errorFromHTTP(err), outcomeOfHTTPError(c, err))
}

// outcomeOfHTTPError returns the outcome to report for a request that the HTTP library rejected. A request with an
// Idempotency-Key may have run before, and the key is unknown if the header could not be read.
func outcomeOfHTTPError(c fiber.Ctx, err error) fault.Outcome {
	var fiberErr *fiber.Error
	bodyRejected := errors.As(err, &fiberErr) && (fiberErr.Code == fiber.StatusRequestEntityTooLarge || fiberErr.Code == fiber.StatusNotFound)
	return earlyRefusalOutcome(!bodyRejected || hasUsableKey(c))
}

// discardUnread reads and drops what the caller is still sending. Closing a connection with unread bytes resets it,
// and the caller would lose the answer.
func discardUnread(conn net.Conn) {
	if conn == nil {
		return
	}
	buffer := make([]byte, discardBufferBytes)
	deadline := time.Now().Add(maxDiscardTime)
	for discarded := 0; discarded < maxDiscardBytes && time.Now().Before(deadline); {
		if conn.SetReadDeadline(time.Now().Add(discardIdleTimeout)) != nil {
			return
		}
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		discarded += n
	}
}

func errorFromHTTP(err error) error {
	var fiberErr *fiber.Error
	if !errors.As(err, &fiberErr) {
		return fault.Wrap(err, fault.Internal, "the request could not be handled", "retry, and report it if that fails too")
	}
	switch fiberErr.Code {
	case fiber.StatusRequestEntityTooLarge:
		return fault.New(fault.TooLarge, "the body is larger than this entry accepts", "send a smaller body or have an operator raise max_body_bytes")
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return fault.New(fault.TooLarge, "the headers are larger than this entry accepts", "send fewer or shorter headers")
	case fiber.StatusNotFound:
		return errNoService()
	}
	return fault.New(fault.BadRequest, "the request is not valid HTTP for this entry: "+fiberErr.Message, "correct the request")
}
