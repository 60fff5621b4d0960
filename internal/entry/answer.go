package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/fault"
)

const chunkQueueLength = 16 // parts of up to 64 KiB that wait for a slow caller

// answer collects a request's answer. An event stream is passed on as it arrives; any other answer is sent once it
// is whole.
type answer struct {
	ready      chan struct{} // closed at the head of a stream, or at the end
	callerGone chan struct{} // closed when the caller takes no more
	chunks     chan []byte

	status      int
	contentType string
	body        []byte
	streaming   bool
	outcome     fault.Outcome
	err         error
}

func newAnswer() *answer {
	return &answer{
		ready:      make(chan struct{}),
		callerGone: make(chan struct{}),
		chunks:     make(chan []byte, chunkQueueLength),
	}
}

func (a *answer) isStreaming() bool { return a.streaming }

// setHead begins the answer, and discards what was collected of another one.
func (a *answer) setHead(status int, contentType string) {
	a.status = status
	a.contentType = contentType
	a.body = nil
	if strings.HasPrefix(contentType, "text/event-stream") {
		a.streaming = true
		close(a.ready)
	}
}

// write adds a piece. It waits while the caller is behind, until the caller is gone or the context ends; the flow ends
// the answer then.
func (a *answer) write(ctx context.Context, chunk []byte) {
	if !a.streaming {
		a.body = append(a.body, chunk...)
		return
	}
	select {
	case a.chunks <- chunk:
	case <-a.callerGone:
	case <-ctx.Done():
	}
}

func (a *answer) finish(outcome fault.Outcome, err error) {
	a.outcome = outcome
	a.err = err
	close(a.chunks)
	if !a.streaming {
		close(a.ready)
	}
}

// writeStream writes the event stream. A stream that ends early ends in an error event without the end marker, so that no
// caller takes it for whole.
func (a *answer) writeStream(w *bufio.Writer) {
	for chunk := range a.chunks {
		_, _ = w.Write(chunk) // Flush returns its error
		if w.Flush() != nil {
			close(a.callerGone)
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

func (a *answer) sendBody(c fiber.Ctx) error {
	if a.err != nil {
		return sendRefusal(c, a.err, a.outcome)
	}
	c.Set(fiber.HeaderContentType, a.contentType)
	return c.Status(a.status).Send(a.body)
}
