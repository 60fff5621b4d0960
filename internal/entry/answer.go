package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/fault"
)

const pieceQueue = 16 // parts of up to 64 KiB that wait for a slow caller

// answer collects a request's answer. An event stream is passed on as it arrives; any other answer is sent once it
// is whole.
type answer struct {
	started chan struct{} // closed at the head of a stream, or at the end
	gone    chan struct{} // closed when the caller takes no more
	pieces  chan []byte

	status      int
	contentType string
	whole       []byte
	streaming   bool
	outcome     fault.Outcome
	err         error
}

func newAnswer() *answer {
	return &answer{
		started: make(chan struct{}),
		gone:    make(chan struct{}),
		pieces:  make(chan []byte, pieceQueue),
	}
}

func (a *answer) streams() bool { return a.streaming }

// head begins the answer, and discards what was collected of another one.
func (a *answer) head(status int, contentType string) {
	a.status = status
	a.contentType = contentType
	a.whole = nil
	if strings.HasPrefix(contentType, "text/event-stream") {
		a.streaming = true
		close(a.started)
	}
}

// data adds a piece. It waits while the caller is behind, until the caller is gone or the context ends; the flow ends
// the answer then.
func (a *answer) data(ctx context.Context, piece []byte) {
	if !a.streaming {
		a.whole = append(a.whole, piece...)
		return
	}
	select {
	case a.pieces <- piece:
	case <-a.gone:
	case <-ctx.Done():
	}
}

func (a *answer) finish(outcome fault.Outcome, err error) {
	a.outcome = outcome
	a.err = err
	close(a.pieces)
	if !a.streaming {
		close(a.started)
	}
}

// copyTo writes the event stream. A stream that ends early ends in an error event without the end marker, so that no
// caller takes it for whole.
func (a *answer) copyTo(w *bufio.Writer) {
	for piece := range a.pieces {
		_, _ = w.Write(piece) // Flush returns its error
		if w.Flush() != nil {
			close(a.gone)
			return
		}
	}
	if a.err == nil {
		return
	}
	refusal, _ := json.Marshal(fault.RefusalOf(a.err, a.outcome)) // plain fields always encode
	_, _ = w.WriteString("\n\ndata: {\"error\":" + string(refusal) + "}\n\n")
	_ = w.Flush()
}

func (a *answer) sendWhole(c fiber.Ctx) error {
	if a.err != nil {
		return refuse(c, a.err, a.outcome)
	}
	c.Set(fiber.HeaderContentType, a.contentType)
	return c.Status(a.status).Send(a.whole)
}
