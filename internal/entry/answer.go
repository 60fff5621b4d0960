package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/lovageglade/lovageglade/internal/budget"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/settings"
)

const (
	chunkQueueLength = 16 // chunks of up to 64 KiB that are queued for a slow caller
	// answerMemoryShare is the share of the process's memory for buffered answers.
	answerMemoryShare = 1.0 / 4
	// freeAnswerBytes of each answer take no room in that share. The number of callers' connections bounds their sum.
	freeAnswerBytes = 64 << 10
)

// newAnswerBudget returns the budget of the answers that a process with the resources buffers.
func newAnswerBudget(resources settings.Resources) *budget.Budget {
	return budget.New(int64(answerMemoryShare * float64(resources.MemoryBytes())))
}

// answer is the response to a request. An event stream is forwarded as it arrives; any other response is buffered
// and sent once it is complete.
type answer struct {
	kept       budget.Growth // by body
	ready      chan struct{} // closed once a stream has its head, or once any other answer is complete
	callerGone chan struct{} // closed when the caller has disconnected
	chunks     chan []byte

	status      int
	contentType string
	body        []byte
	streaming   bool
	outcome     fault.Outcome
	err         error
}

func newAnswer(answers *budget.Budget) *answer {
	return &answer{
		kept:       budget.Growth{Budget: answers, Free: freeAnswerBytes},
		ready:      make(chan struct{}),
		callerGone: make(chan struct{}),
		chunks:     make(chan []byte, chunkQueueLength),
	}
}

func (a *answer) isStreaming() bool { return a.streaming }

// setHead sets the status and content type, and discards the body of an earlier attempt.
func (a *answer) setHead(status int, contentType string) {
	a.status = status
	a.contentType = contentType
	a.release()
	if strings.HasPrefix(contentType, "text/event-stream") {
		a.streaming = true
		close(a.ready)
	}
}

// write adds a chunk to the body. For a stream it blocks while the caller is slow. If the caller disconnects or the
// context ends meanwhile, the chunk is dropped. For any other answer it returns false
// if there is no room for the chunk.
func (a *answer) write(ctx context.Context, chunk []byte) bool {
	if !a.streaming {
		return a.bufferChunk(chunk)
	}
	select {
	case a.chunks <- chunk:
	case <-a.callerGone:
	case <-ctx.Done():
	}
	return true
}

func (a *answer) bufferChunk(chunk []byte) bool {
	if !a.kept.Resize(int64(len(a.body) + len(chunk))) {
		return false
	}
	a.body = append(a.body, chunk...)
	return true
}

// release discards the buffered body.
func (a *answer) release() {
	a.body = nil
	a.kept.Release()
}

func (a *answer) finish(outcome fault.Outcome, err error) {
	a.outcome = outcome
	a.err = err
	close(a.chunks)
	if !a.streaming {
		close(a.ready)
	}
}

// writeStream writes the event stream to the caller. A stream that fails ends with an error event and without the
// end marker, so that the caller cannot mistake it for complete.
func (a *answer) writeStream(w *bufio.Writer) {
	for chunk := range a.chunks {
		_, _ = w.Write(chunk) // Flush returns the error
		if w.Flush() != nil {
			close(a.callerGone)
			return
		}
	}
	if a.err == nil {
		return
	}
	refusal, _ := json.Marshal(fault.RefusalOf(a.err, a.outcome)) // cannot fail: every field can be encoded
	_, _ = w.WriteString("\n\ndata: {\"error\":" + string(refusal) + "}\n\n")
	_ = w.Flush()
}

func (a *answer) sendBody(c fiber.Ctx) error {
	defer a.release() // of what the response now refers to
	if a.err != nil {
		return sendRefusal(c, a.err, a.outcome)
	}
	c.Set(fiber.HeaderContentType, a.contentType)
	return c.Status(a.status).Send(a.body)
}
