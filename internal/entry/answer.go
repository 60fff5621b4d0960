package entry

import (
	"bufio"
	"encoding/json"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// answer collects a request's answer. An event stream is passed on as it arrives; any other answer is sent once it
// is whole.
type answer struct {
	started     chan struct{} // closed at the head of a stream, or at the end
	pieces      chan []byte
	status      int
	contentType string
	whole       []byte
	streaming   bool
	outcome     fault.Outcome
	err         error
}

const pieceQueue = 256

func newAnswer() *answer {
	return &answer{started: make(chan struct{}), pieces: make(chan []byte, pieceQueue)}
}

func (a *answer) streams() bool { return a.streaming }

func (a *answer) head(status int, contentType string) {
	a.status = status
	a.contentType = contentType
	if strings.HasPrefix(contentType, "text/event-stream") {
		a.streaming = true
		close(a.started)
	}
}

func (a *answer) data(piece []byte) error {
	if a.streaming {
		a.pieces <- piece
		return nil
	}
	a.whole = append(a.whole, piece...)
	return nil
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
	gone := false
	for piece := range a.pieces {
		if gone {
			continue
		}
		_, _ = w.Write(piece)
		gone = w.Flush() != nil
	}
	if a.err == nil || gone {
		return
	}
	refusal, _ := json.Marshal(fault.RefusalOf(a.err, a.outcome))
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
