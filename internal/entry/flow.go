package entry

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/routing"
	"github.com/lovageglade/lovageglade/internal/stream"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	maxAttempts    = 4
	resolveTimeout = time.Second
	resolveTries   = 3
)

// sink takes a whole answer piece by piece.
type sink interface {
	head(status int, contentType string)
	data(piece []byte) error
}

// flow carries one request over its attempts.
type flow struct {
	entry    *Entry
	request  *request
	sink     sink
	excluded map[core.HostID]bool

	headSent bool
	offset   int64
	hash     *xxhash.Digest
}

// attemptTarget is one attempt and the endpoint's life that it is meant for.
type attemptTarget struct {
	id       core.AttemptID
	endpoint routing.Candidate
}

func newFlow(e *Entry, r *request, into sink) *flow {
	return &flow{entry: e, request: r, sink: into, excluded: make(map[core.HostID]bool), hash: xxhash.New()}
}

// run brings the request to a final outcome: the whole answer in the sink, or an error and whether it ran.
func (f *flow) run() (fault.Outcome, error) {
	var last error
	for range maxAttempts {
		target, err := f.pick()
		if err != nil {
			return fault.NotRun, err
		}
		f.observeAttempt(target.id)
		outcome, err := f.attempt(target)
		if err == nil {
			return "", nil
		}
		last = err
		f.excluded[target.endpoint.Host.ID] = true
		if outcome == fault.Unknown && (!f.request.idempotent || f.headSent) {
			return fault.Unknown, err
		}
		if time.Now().After(f.request.deadline) {
			return outcome, fault.New(fault.Expired, "the deadline passed", "allow more time")
		}
	}
	return fault.NotRun, last
}

// attempt runs one attempt to its end. The outcome is NotRun only when the agent said so.
func (f *flow) attempt(target attemptTarget) (fault.Outcome, error) {
	host := target.endpoint.Host
	f.entry.inFlight.add(host.ID, 1)
	defer f.entry.inFlight.add(host.ID, -1)
	answer, err := f.dispatch(target)
	for {
		if err == nil {
			var refusal *fault.Refusal
			refusal, err = f.follow(target, answer)
			if err == nil && refusal == nil {
				return "", nil
			}
			if refusal != nil {
				return refusal.Outcome, fault.FromRefusal(*refusal)
			}
		}
		state := f.resolve(target)
		switch state {
		case wire.ResolveFinished, wire.ResolveRunning:
			answer, err = f.attach(target)
		case wire.ResolveNever, wire.ResolveRefused:
			return fault.NotRun, fault.New(fault.Interrupted, "the attempt did not reach its endpoint", "it is sent to another endpoint")
		default:
			return fault.Unknown, fault.New(fault.LostOutcome, "the endpoint was lost while it may have run the request", "check whether it took effect before sending it again")
		}
	}
}

func (f *flow) dispatch(target attemptTarget) (*stream.Response, error) {
	r := f.request
	body, err := json.Marshal(wire.Dispatch{
		Attempt:     target.id,
		Request:     r.id,
		Incarnation: target.endpoint.Incarnation,
		Generation:  r.generation,
		Service:     r.service.Name,
		Workspace:   r.workspace,
		Version:     target.endpoint.Version,
		Method:      r.method,
		Path:        r.path,
		ContentType: r.contentType,
		Key:         r.key,
		Body:        r.body,
		Idempotent:  r.idempotent,
		Priority:    r.priority,
		BudgetMS:    time.Until(r.deadline).Milliseconds(),
	})
	if err != nil {
		return nil, err
	}
	url := "http://" + target.endpoint.Host.DataAddress + wire.PathAttempts
	return f.entry.agents.Do(stream.Request{Method: "POST", URL: url, ContentType: "application/json", Body: body})
}

func (f *flow) attach(target attemptTarget) (*stream.Response, error) {
	url := "http://" + target.endpoint.Host.DataAddress + wire.PathAttempts + "/" + string(target.id) + "?offset=" + strconv.FormatInt(f.offset, 10)
	return f.entry.agents.Do(stream.Request{Method: "GET", URL: url})
}

// follow reads frames until the last one. An error means that the connection was lost before it.
func (f *flow) follow(target attemptTarget, answer *stream.Response) (*fault.Refusal, error) {
	defer answer.Close()
	decoder := json.NewDecoder(answer)
	for {
		var frame wire.Frame
		if err := decoder.Decode(&frame); err != nil {
			return nil, err
		}
		if frame.Load != nil {
			f.entry.inFlight.report(target.endpoint.Host.ID, *frame.Load)
		}
		if frame.Kind != wire.FrameBeat && frame.Attempt != target.id {
			return nil, fault.New(fault.Corrupted, "an answer of another attempt arrived", "the attempt is resolved anew")
		}
		done, err := f.take(frame)
		if frame.Kind == wire.FrameRefusal {
			return frame.Refusal, nil
		}
		if done || err != nil {
			_, _ = io.Copy(io.Discard, answer)
			return nil, err
		}
	}
}

func (f *flow) take(frame wire.Frame) (done bool, err error) {
	switch frame.Kind {
	case wire.FrameHead:
		if !f.headSent {
			f.sink.head(frame.Status, frame.ContentType)
			f.headSent = true
		}
	case wire.FrameData:
		if frame.Offset != f.offset {
			return false, fault.New(fault.Corrupted, "a part of the answer is missing", "the attempt is resolved anew")
		}
		f.offset += int64(len(frame.Data))
		_, _ = f.hash.Write(frame.Data)
		return false, f.sink.data(frame.Data)
	case wire.FrameEnd:
		if frame.Length != f.offset || frame.Checksum != f.hash.Sum64() {
			return false, fault.New(fault.Corrupted, "the answer differs from what the endpoint sent", "the request is reported as failed")
		}
		return true, nil
	}
	return false, nil
}

// resolve asks the agent over a fresh connection what became of the attempt. Without a word from it the answer is
// ResolveOtherLife: nothing is known.
func (f *flow) resolve(target attemptTarget) wire.ResolveState {
	address := target.endpoint.Host.ControlAddress
	for range resolveTries {
		f.entry.peers.Forget(address)
		ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
		var resolved wire.Resolved
		err := f.entry.peers.Call(ctx, address, wire.MethodResolve, wire.Resolve{Attempt: target.id, Incarnation: target.endpoint.Incarnation}, &resolved)
		cancel()
		if err == nil {
			return resolved.State
		}
	}
	return wire.ResolveOtherLife
}
