// Package attempt keeps an agent's word on every attempt: it is recorded before the endpoint sees a byte, and its
// answer is held so that an entry that lost its connection can ask what became of it and read on.
package attempt

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Record holds one attempt and its answer as far as it has arrived. It is safe for concurrent use.
type Record struct {
	id core.AttemptID

	mu      sync.Mutex
	state   wire.ResolveState
	head    *wire.Frame
	body    []byte
	final   *wire.Frame // the end, or the refusal
	changed chan struct{}
}

func newRecord(id core.AttemptID, state wire.ResolveState) *Record {
	return &Record{id: id, state: state, changed: make(chan struct{})}
}

// Head records the status and the content type of the endpoint's answer.
func (r *Record) Head(status int, contentType string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = &wire.Frame{Kind: wire.FrameHead, Attempt: r.id, Status: status, ContentType: contentType}
	r.wake()
}

// Append records further bytes of the answer's body.
func (r *Record) Append(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.body = append(r.body, data...)
	r.wake()
}

// Finish records that the answer is whole.
func (r *Record) Finish(load wire.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = wire.ResolveFinished
	r.final = &wire.Frame{
		Kind:     wire.FrameEnd,
		Attempt:  r.id,
		Length:   int64(len(r.body)),
		Checksum: xxhash.Sum64(r.body),
		Load:     &load,
	}
	r.wake()
}

// Refuse records that the attempt did not and will not run.
func (r *Record) Refuse(err error, load wire.Load) {
	r.close(wire.ResolveRefused, fault.RefusalOf(err, fault.NotRun), load)
}

// Fail records that the attempt reached the endpoint and has no whole answer.
func (r *Record) Fail(err error, load wire.Load) {
	r.close(wire.ResolveFailed, fault.RefusalOf(err, fault.Unknown), load)
}

func (r *Record) close(state wire.ResolveState, refusal fault.Refusal, load wire.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	r.final = &wire.Frame{Kind: wire.FrameRefusal, Attempt: r.id, Refusal: &refusal, Load: &load}
	r.wake()
}

// State returns the agent's word on the attempt.
func (r *Record) State() wire.ResolveState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Cursor is a reader's position in an answer.
type Cursor struct {
	HeadRead bool
	Offset   int64 // bytes of the body read
}

// Read returns the frames behind the cursor and advances it. Done means that the last frame is among them;
// otherwise changed is closed once there is more.
func (r *Record) Read(cursor *Cursor) (frames []wire.Frame, done bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.head != nil && !cursor.HeadRead {
		frames = append(frames, *r.head)
		cursor.HeadRead = true
	}
	if cursor.Offset < int64(len(r.body)) {
		frames = append(frames, wire.Frame{Kind: wire.FrameData, Attempt: r.id, Offset: cursor.Offset, Data: r.body[cursor.Offset:len(r.body):len(r.body)]})
		cursor.Offset = int64(len(r.body))
	}
	if r.final != nil {
		frames = append(frames, *r.final)
	}
	return frames, r.final != nil, r.changed
}

func (r *Record) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}
