package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/expvar"

	"github.com/lovageglade/lovageglade/internal/attempt"
	"github.com/lovageglade/lovageglade/internal/backend"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	beatInterval    = time.Second // a frame at least this often, so that silence means a lost connection
	readBufferBytes = 16 << 10
	maxBodyBytes    = 64 << 20
)

func (a *Agent) routes() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: maxBodyBytes})
	app.Use(expvar.New())
	app.Post(wire.PathAttempts, a.handleDispatch)
	app.Get(wire.PathAttempts+"/:id", a.handleAttach)
	app.Get(wire.PathChunks+":digest", a.handleChunk)
	return app
}

func (a *Agent) handleDispatch(c fiber.Ctx) error {
	var dispatch wire.Dispatch
	if err := json.Unmarshal(c.Body(), &dispatch); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString("the dispatch cannot be read")
	}
	record, err := a.begin(dispatch)
	if err != nil {
		return a.sendRefusal(c, dispatch.Attempt, err)
	}
	return a.follow(c, record, attempt.Cursor{})
}

// begin records the attempt and starts it, or returns why it will never run here.
func (a *Agent) begin(dispatch wire.Dispatch) (*attempt.Record, error) {
	if dispatch.Incarnation != a.incarnation {
		return nil, fault.New(fault.WrongLife, "the attempt was meant for an earlier life of this agent", "read the agent's record again")
	}
	record, fresh, err := a.table.Begin(dispatch.Attempt, time.Now())
	if err != nil || !fresh {
		return record, err
	}
	a.running.Go(func() { a.run(dispatch, record) })
	return record, nil
}

func (a *Agent) run(dispatch wire.Dispatch, record *attempt.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(dispatch.BudgetMS)*time.Millisecond)
	defer cancel()
	if err := a.admit(ctx, dispatch); err != nil {
		record.Refuse(err, a.load())
		return
	}
	err := a.copyAnswer(ctx, dispatch, record)
	a.gate.Leave(err == nil)
	if err != nil {
		a.logger.Warn().Err(err).Str("attempt", string(dispatch.Attempt)).Msg("no whole answer from the back end")
		record.Fail(err, a.load())
		return
	}
	record.Finish(a.load())
}

func (a *Agent) copyAnswer(ctx context.Context, dispatch wire.Dispatch, record *attempt.Record) error {
	answer, err := a.engine.Call(ctx, backend.Call{
		Method:      dispatch.Method,
		Path:        dispatch.Path,
		ContentType: dispatch.ContentType,
		Body:        dispatch.Body,
	})
	if err != nil {
		return fault.Wrap(err, fault.EndpointFault, "the back end gave no answer", "check that the back end runs")
	}
	defer answer.Close()
	record.Head(answer.Status, answer.ContentType)
	tail, err := a.copyBody(ctx, answer, record)
	if err != nil {
		return err
	}
	if strings.HasPrefix(answer.ContentType, "text/event-stream") && !strings.HasSuffix(strings.TrimSpace(tail), "data: [DONE]") {
		return fault.New(fault.EndpointFault, "the event stream ended without its end marker", "send the request again if it is idempotent")
	}
	return nil
}

const tailBytes = 64 // enough of an event stream's end to see its marker

func (a *Agent) copyBody(ctx context.Context, answer io.Reader, record *attempt.Record) (tail string, err error) {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Read(buffer)
		record.Append(buffer[:n])
		tail = lastBytes(tail+string(buffer[:n]), tailBytes)
		if errors.Is(err, io.EOF) {
			return tail, nil
		}
		if err != nil {
			return tail, fault.Wrap(err, fault.EndpointFault, "the back end's answer was cut", "send the request again if it is idempotent")
		}
		if ctx.Err() != nil {
			return tail, fault.New(fault.Expired, "the caller's deadline passed", "allow more time or send a shorter request")
		}
	}
}

func lastBytes(text string, n int) string {
	if len(text) <= n {
		return text
	}
	return text[len(text)-n:]
}

func (a *Agent) handleAttach(c fiber.Ctx) error {
	id := core.AttemptID(c.Params("id"))
	record := a.table.Find(core.AttemptID(strings.Clone(string(id))))
	if record == nil {
		return a.sendRefusal(c, id, fault.New(fault.NotFound, "the attempt is not known here", "resolve it first"))
	}
	offset := int64(fiber.Query[int](c, "offset"))
	return a.follow(c, record, attempt.Cursor{HeadRead: offset > 0, Offset: offset})
}

// follow streams the record's frames until its last one.
func (a *Agent) follow(c fiber.Ctx, record *attempt.Record, cursor attempt.Cursor) error {
	c.Set(fiber.HeaderContentType, "application/x-ndjson")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		encoder := json.NewEncoder(w)
		for {
			frames, done, changed := record.Read(&cursor)
			for i := range frames {
				if encoder.Encode(&frames[i]) != nil {
					return
				}
			}
			if w.Flush() != nil || done {
				return
			}
			select {
			case <-changed:
			case <-time.After(beatInterval):
				load := a.load()
				if encoder.Encode(&wire.Frame{Kind: wire.FrameBeat, Load: &load}) != nil {
					return
				}
			}
		}
	})
}

func (a *Agent) sendRefusal(c fiber.Ctx, id core.AttemptID, err error) error {
	refusal := fault.RefusalOf(err, fault.NotRun)
	load := a.load()
	return c.JSON(wire.Frame{Kind: wire.FrameRefusal, Attempt: id, Refusal: &refusal, Load: &load})
}
