package entry

import (
	"errors"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// Bounds on what is read and dropped of a request that was refused before it was read to its end.
const (
	maxDiscardBytes    = 64 << 20
	maxDiscardTime     = 2 * time.Second
	discardIdleTimeout = 100 * time.Millisecond // without a byte, after which the caller is taken to wait for the answer
	discardBufferBytes = 32 << 10
)

// handleHTTPError answers a request that the HTTP library refused before a handler saw it, such as an oversized one.
func handleHTTPError(c fiber.Ctx, err error) error {
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) && (fiberErr.Code == fiber.StatusRequestEntityTooLarge || fiberErr.Code == fiber.StatusRequestHeaderFieldsTooLarge) {
		discardUnread(c.RequestCtx().Conn())
	}
	return sendRefusal(c, errorFromHTTP(err), fault.NotRun)
}

// discardUnread reads what the caller still sends. A connection that is closed with bytes unread is reset, and the caller
// would lose the answer.
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
		return fault.Wrap(err, fault.Internal, "the request could not be handled", "send it again, and report it if that fails too")
	}
	switch fiberErr.Code {
	case fiber.StatusRequestEntityTooLarge:
		return fault.New(fault.TooLarge, "the body is larger than this entry takes", "send a smaller body or have an operator raise max_body_bytes")
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return fault.New(fault.TooLarge, "the headers are larger than this entry takes", "send fewer or shorter headers")
	case fiber.StatusNotFound:
		return errNoService()
	}
	return fault.New(fault.BadRequest, "the request is not valid HTTP for this entry: "+fiberErr.Message, "correct the request")
}
