package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/outcome"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// attemptConn is one connection on which the answer of an attempt is read.
type attemptConn struct {
	attempt       outcome.Attempt
	number        int
	request       stream.Request
	provesNotSent bool // a failure to connect proves that the attempt was not sent
}

func (f *forwarder) dispatch(effect outcome.Dispatch) {
	request := stream.Request{Method: "POST", Address: effect.Attempt.Target.Host.DataAddress, Target: wire.PathAttempts, ContentType: "application/json"}
	request.Body, _ = json.Marshal(f.dispatchMessage(effect)) // cannot fail: every field can be encoded
	f.startReader(attemptConn{attempt: effect.Attempt, number: effect.Conn, request: request, provesNotSent: true})
}

func (f *forwarder) attach(effect outcome.Attach) {
	target := wire.PathAttempts + "/" + string(effect.Attempt.ID) + "?offset=" + strconv.FormatInt(effect.Offset, 10)
	request := stream.Request{Method: "GET", Address: effect.Attempt.Target.Host.DataAddress, Target: target, NewConn: true}
	f.startReader(attemptConn{attempt: effect.Attempt, number: effect.Conn, request: request})
}

func (f *forwarder) dispatchMessage(effect outcome.Dispatch) wire.Dispatch {
	r := f.request
	return wire.Dispatch{
		Attempt:        effect.Attempt.ID,
		Request:        r.id,
		Incarnation:    effect.Attempt.Target.Incarnation,
		Mark:           effect.Attempt.Target.Mark,
		Generation:     r.generation,
		ControlAddress: f.entry.settings.Host.ControlAddress,
		Service:        r.service.Name,
		Workspace:      r.workspace,
		Version:        effect.Attempt.Target.Version,
		Method:         r.method,
		Path:           r.path,
		ContentType:    r.contentType,
		Key:            r.key,
		Body:           r.body,
		Idempotent:     r.idempotent,
		Priority:       r.priority,
		BudgetMS:       time.Until(r.deadline).Milliseconds(),
		Fingerprint:    f.fingerprint,
		Suspect:        effect.Suspect,
		Suspects:       f.entry.outcomeState.suspects.Report(time.Now()),
	}
}

// startReader starts a goroutine that reads frames from the connection until the last frame or until cancelReader.
// It replaces an earlier reader of the same attempt.
func (f *forwarder) startReader(c attemptConn) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.cancelReader(c.attempt.ID)
	f.cancelReaders[c.attempt.ID] = cancel
	f.tasks.Go(func() {
		defer cancel()
		host := c.attempt.Target.Host.ID
		f.entry.routingState.addInFlight(host, 1)
		defer f.entry.routingState.addInFlight(host, -1)
		f.readFrames(ctx, c)
	})
}

func (f *forwarder) cancelReader(id core.AttemptID) {
	if cancel := f.cancelReaders[id]; cancel != nil {
		cancel()
		delete(f.cancelReaders, id)
	}
}

func (f *forwarder) readFrames(ctx context.Context, c attemptConn) {
	response, err := f.entry.agents.Do(ctx, c.request)
	if ctx.Err() != nil && err != nil {
		return // nobody waits for the event
	}
	if err != nil {
		f.entry.node.ReportConnectionFailure(c.attempt.Target.Host.ID)
	}
	if err != nil && c.provesNotSent && stream.NotSent(err) {
		f.post(ctx, outcome.NotSent{Attempt: c.attempt.ID, Conn: c.number, Err: errNotReached(err)})
		return
	}
	if err != nil {
		f.post(ctx, outcome.ConnLost{Attempt: c.attempt.ID, Conn: c.number})
		return
	}
	defer response.Close()
	frames := newFrameReader(response)
	for {
		frame, err := frames.next()
		if err != nil {
			f.post(ctx, outcome.ConnLost{Attempt: c.attempt.ID, Conn: c.number})
			return
		}
		f.recordReports(c.attempt.Target.Host, frame)
		if !f.post(ctx, outcome.FrameArrived{Attempt: c.attempt.ID, Conn: c.number, Frame: frame}) {
			return
		}
		if frame.Kind == wire.FrameEnd || frame.Kind == wire.FrameRefusal {
			response.Discard()
			return
		}
	}
}

// recordReports records what a frame reports besides the answer: suspect requests, load, generation and mark.
func (f *forwarder) recordReports(host core.Host, frame wire.Frame) {
	f.entry.outcomeState.suspects.Merge(frame.Suspects, time.Now())
	if frame.Load == nil {
		return
	}
	f.entry.routingState.recordLoad(host.ID, *frame.Load)
	f.entry.node.ReportGeneration(frame.Load.Generation, host.ControlAddress)
	f.entry.outcomeState.marks.update(host.ID, frame.Load.Incarnation, frame.Load.Mark)
}

var errFrameTooLong = errors.New("the agent sends a frame without end")

// frameReader reads frames of wire.MaxFrameBytes at most.
type frameReader struct {
	decoder   *json.Decoder
	source    io.Reader
	remaining int // bytes that may be read until the frame has ended
}

func newFrameReader(source io.Reader) *frameReader {
	r := &frameReader{source: source}
	r.decoder = json.NewDecoder(r)
	return r
}

func (r *frameReader) next() (frame wire.Frame, err error) {
	r.remaining = wire.MaxFrameBytes
	err = r.decoder.Decode(&frame)
	return frame, err
}

// Read implements io.Reader, for the decoder.
func (r *frameReader) Read(buf []byte) (int, error) {
	if r.remaining == 0 {
		return 0, errFrameTooLong
	}
	n, err := r.source.Read(buf[:min(len(buf), r.remaining)])
	r.remaining -= n
	return n, err
}
