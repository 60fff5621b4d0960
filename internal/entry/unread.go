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
	maxDropBytes = 64 << 20
	maxDropTime  = 2 * time.Second
	dropPause    = 100 * time.Millisecond // without a byte, after which the caller is taken to wait for the answer
	dropBuffer   = 32 << 10
)

// refuseUnread answers a request that the HTTP library refused before a handler saw it, such as an oversized one.
func refuseUnread(c fiber.Ctx, err error) error {
	var known *fiber.Error
	if errors.As(err, &known) && (known.Code == fiber.StatusRequestEntityTooLarge || known.Code == fiber.StatusRequestHeaderFieldsTooLarge) {
		dropRest(c.RequestCtx().Conn())
	}
	return refuse(c, errUnread(err), fault.NotRun)
}

// dropRest reads what the caller still sends. A connection that is closed with bytes unread is reset, and the caller
// would lose the answer.
func dropRest(conn net.Conn) {
	if conn == nil {
		return
	}
	buffer := make([]byte, dropBuffer)
	end := time.Now().Add(maxDropTime)
	for dropped := 0; dropped < maxDropBytes && time.Now().Before(end); {
		if conn.SetReadDeadline(time.Now().Add(dropPause)) != nil {
			return
		}
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		dropped += n
	}
}

func errUnread(err error) error {
	var known *fiber.Error
	if !errors.As(err, &known) {
		return fault.Wrap(err, fault.Internal, "the request could not be handled", "send it again, and report it if that fails too")
	}
	switch known.Code {
	case fiber.StatusRequestEntityTooLarge:
		return fault.New(fault.TooLarge, "the body is larger than this entry takes", "send a smaller body or have an operator raise max_body_bytes")
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return fault.New(fault.TooLarge, "the headers are larger than this entry takes", "send fewer or shorter headers")
	case fiber.StatusNotFound:
		return errNoService()
	}
	return fault.New(fault.BadRequest, "the request is not valid HTTP for this entry: "+known.Message, "correct the request")
}
