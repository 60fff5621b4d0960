package agent

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/expvar"

	"github.com/lovageglade/lovageglade/internal/attempt"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/graceful"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	heartbeatInterval = time.Second      // a frame is sent at least this often, so that silence means a lost connection
	writeTimeout      = 10 * time.Second // per write to an entry
	maxBodyBytes      = 64 << 20
	bodyCopies        = 3           // of a body: as read, decoded, and sent to the back end
	lateBodyTime      = time.Second // from the signal to stop, for bodies that have begun to arrive by then
)

func (a *Agent) routes() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: maxBodyBytes, StreamRequestBody: true})
	app.Use(graceful.ReadBody(maxBodyBytes))
	app.Use(graceful.CloseWhile(&a.draining))
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
	record, err := a.startAttempt(dispatch)
	if err != nil {
		a.logger.Info().Str("request", string(dispatch.Request)).Str("attempt", string(dispatch.Attempt)).Err(err).Msg("attempt refused")
		return a.sendRefusal(c, dispatch.Attempt, err, outcomeOfRefusal(err))
	}
	return a.streamFrames(c, record, attempt.Cursor{})
}

// outcomeOfRefusal returns what this incarnation knows of an attempt that it refuses to start. It cannot know of an attempt
// that was meant for another incarnation, or whose record may have been evicted. The entry, which sends each attempt only
// once, knows that it did not run.
func outcomeOfRefusal(err error) fault.Outcome {
	if fault.Is(err, fault.WrongIncarnation) {
		return fault.Unknown
	}
	return fault.NotRun
}

func (a *Agent) handleAttach(c fiber.Ctx) error {
	id := core.AttemptID(c.Params("id"))
	record := a.attemptTable.Find(id, time.Now())
	if record == nil {
		err := fault.New(fault.LostOutcome, "this agent does not know the attempt", "check whether it took effect before sending it again")
		return a.sendRefusal(c, id, err, fault.Unknown)
	}
	offset := int64(fiber.Query[int](c, "offset"))
	return a.streamFrames(c, record, attempt.Cursor{HeadRead: offset > 0, Offset: offset})
}

// streamFrames sends the record's frames until the last one, with heartbeats while there are none.
func (a *Agent) streamFrames(c fiber.Ctx, record *attempt.Record, cursor attempt.Cursor) error {
	c.Set(fiber.HeaderContentType, "application/x-ndjson")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		encoder := json.NewEncoder(w)
		for {
			frames, done, changed := record.Read(&cursor)
			if !a.writeFrames(encoder, frames) || w.Flush() != nil || done {
				return
			}
			select {
			case <-changed:
			case <-time.After(heartbeatInterval):
				if !a.writeFrames(encoder, []wire.Frame{a.heartbeat(record)}) {
					return
				}
			}
		}
	})
}

func (a *Agent) writeFrames(encoder *json.Encoder, frames []wire.Frame) bool {
	for i := range frames {
		if frames[i].Kind == wire.FrameEnd || frames[i].Kind == wire.FrameRefusal {
			frames[i].Suspects = a.suspects.Report(time.Now())
		}
		if encoder.Encode(&frames[i]) != nil {
			return false
		}
	}
	return true
}

func (a *Agent) heartbeat(record *attempt.Record) wire.Frame {
	load := a.load()
	return wire.Frame{Kind: wire.FrameHeartbeat, Attempt: record.ID(), Load: &load}
}

func (a *Agent) sendRefusal(c fiber.Ctx, id core.AttemptID, err error, outcome fault.Outcome) error {
	refusal := fault.RefusalOf(err, outcome)
	load := a.load()
	report := a.suspects.Report(time.Now())
	return c.JSON(wire.Frame{Kind: wire.FrameRefusal, Attempt: id, Refusal: &refusal, Load: &load, Suspects: report})
}
