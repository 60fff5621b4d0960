package entry

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/outcome"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// connection is one connection that reads an attempt's answer.
type connection struct {
	attempt outcome.Attempt
	number  int
	request stream.Request
	unsent  bool // a failure to connect proves that the attempt was not sent
}

func (f *flow) dispatch(effect outcome.Dispatch) {
	request := stream.Request{Method: "POST", URL: attemptsURL(effect.Attempt), ContentType: "application/json"}
	request.Body, _ = json.Marshal(f.message(effect)) // a message of plain fields always encodes
	f.follow(connection{attempt: effect.Attempt, number: effect.Conn, request: request, unsent: true})
}

func (f *flow) attach(effect outcome.Attach) {
	url := attemptsURL(effect.Attempt) + "/" + string(effect.Attempt.ID) + "?offset=" + strconv.FormatInt(effect.Offset, 10)
	request := stream.Request{Method: "GET", URL: url, NewConn: true}
	f.follow(connection{attempt: effect.Attempt, number: effect.Conn, request: request})
}

func attemptsURL(attempt outcome.Attempt) string {
	return "http://" + attempt.Target.Host.DataAddress + wire.PathAttempts
}

func (f *flow) message(effect outcome.Dispatch) wire.Dispatch {
	r := f.request
	return wire.Dispatch{
		Attempt:     effect.Attempt.ID,
		Request:     r.id,
		Incarnation: effect.Attempt.Target.Incarnation,
		Mark:        effect.Attempt.Target.Mark,
		Generation:  r.generation,
		Control:     f.entry.settings.Host.ControlAddress,
		Service:     r.service.Name,
		Workspace:   r.workspace,
		Version:     effect.Attempt.Target.Version,
		Method:      r.method,
		Path:        r.path,
		ContentType: r.contentType,
		Key:         r.key,
		Body:        r.body,
		Idempotent:  r.idempotent,
		Priority:    r.priority,
		BudgetMS:    time.Until(r.deadline).Milliseconds(),
		Fingerprint: f.fingerprint,
		Suspect:     effect.Suspect,
		Suspects:    f.entry.outcomes.suspects.Report(time.Now()),
	}
}

// follow reads frames from the connection until the last one, or until the attempt is dropped.
func (f *flow) follow(c connection) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.drop(c.attempt.ID)
	f.followers[c.attempt.ID] = cancel
	f.tasks.Go(func() {
		defer cancel()
		host := c.attempt.Target.Host.ID
		f.entry.inFlight.add(host, 1)
		defer f.entry.inFlight.add(host, -1)
		f.read(ctx, c)
	})
}

func (f *flow) drop(id core.AttemptID) {
	if cancel := f.followers[id]; cancel != nil {
		cancel()
		delete(f.followers, id)
	}
}

func (f *flow) read(ctx context.Context, c connection) {
	answer, err := f.entry.agents.Do(c.request)
	if err != nil {
		f.entry.node.ReportConnectionFailure(c.attempt.Target.Host.ID)
	}
	if err != nil && c.unsent && stream.NotSent(err) {
		f.post(ctx, outcome.NotSent{Attempt: c.attempt.ID, Conn: c.number, Err: errNotReached(err)})
		return
	}
	if err != nil {
		f.post(ctx, outcome.ConnLost{Attempt: c.attempt.ID, Conn: c.number})
		return
	}
	defer answer.Close()
	decoder := json.NewDecoder(answer)
	for {
		var frame wire.Frame
		if err := decoder.Decode(&frame); err != nil {
			f.post(ctx, outcome.ConnLost{Attempt: c.attempt.ID, Conn: c.number})
			return
		}
		f.hear(c.attempt.Target.Host, frame)
		if !f.post(ctx, outcome.FrameArrived{Attempt: c.attempt.ID, Conn: c.number, Frame: frame}) {
			return
		}
		if frame.Kind == wire.FrameEnd || frame.Kind == wire.FrameRefusal {
			_, _ = io.Copy(io.Discard, answer) // a connection that was read to its end is kept
			return
		}
	}
}

// hear takes over what a frame says besides its part of the answer.
func (f *flow) hear(host core.Host, frame wire.Frame) {
	f.entry.outcomes.suspects.Merge(frame.Suspects, time.Now())
	if frame.Load == nil {
		return
	}
	f.entry.inFlight.report(host.ID, *frame.Load)
	f.entry.node.ReportGeneration(frame.Load.Generation, host.ControlAddress)
	f.entry.outcomes.marks.heard(host.ID, frame.Load.Incarnation, frame.Load.Mark)
}
