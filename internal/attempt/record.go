// Package attempt keeps an agent's records of attempts. An attempt is recorded before the endpoint receives a byte of
// it, and its answer is buffered, so that an entry that lost its connection can ask for the outcome and read the rest.
package attempt

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Record holds the state of one attempt and the part of its answer that has arrived. It is safe for concurrent use.
type Record struct {
	id core.AttemptID

	buffer *buffer // of the table

	mu          sync.Mutex
	state       wire.ResolveState
	head        *wire.Frame
	body        []byte
	bodyDropped bool          // the body has been discarded
	lastFrame   *wire.Frame   // the end or the refusal; nil while the attempt runs
	stopFunc    func()        // nil if the attempt cannot be stopped
	changed     chan struct{} // closed and replaced at each change
}

// maxFrameBytes is the most data in one frame.
const maxFrameBytes = 64 << 10

func newRecord(id core.AttemptID, state wire.ResolveState, buffer *buffer) *Record {
	return &Record{id: id, state: state, buffer: buffer, changed: make(chan struct{})}
}

// ID returns the attempt's id.
func (r *Record) ID() core.AttemptID { return r.id }

// SetStopFunc sets the function that stops the attempt. Without one the attempt cannot be stopped.
func (r *Record) SetStopFunc(stopFunc func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopFunc = stopFunc
}

// Stop calls the stop function if the attempt is running and has one. It reports whether it did.
func (r *Record) Stop() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopFunc == nil || r.lastFrame != nil {
		return false
	}
	r.stopFunc()
	return true
}

// SetHead records the status and the content type of the endpoint's answer.
func (r *Record) SetHead(status int, contentType string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = &wire.Frame{Kind: wire.FrameHead, Attempt: r.id, Status: status, ContentType: contentType}
	r.notifyReaders()
}

// Append adds data to the answer's body. It returns an error of kind TooLarge if the answer would be larger than MaxAnswerBytes, and one
// of kind LostOutcome if it would be larger than GuaranteedBytes while the buffer for all answers is full.
func (r *Record) Append(data []byte) error {
	if err := r.reserve(int64(len(data))); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.body = append(r.body, data...)
	r.notifyReaders()
	return nil
}

// reserve takes room in the buffer for n more bytes of the body, which only one goroutine appends to.
func (r *Record) reserve(n int64) error {
	r.mu.Lock()
	size := int64(len(r.body)) + n
	r.mu.Unlock()
	if size > MaxAnswerBytes {
		return fault.New(fault.TooLarge, "the answer is larger than an agent can store", "request a smaller answer")
	}
	if !r.buffer.reserve(n) && size > GuaranteedBytes {
		r.buffer.release(n)
		return fault.New(fault.LostOutcome, "the agent's buffer for answers is full, and the answer is larger than "+strconv.Itoa(GuaranteedBytes)+" bytes", "check whether the request took effect; request a smaller answer")
	}
	return nil
}

// Finish records that the answer is complete, and adds the end frame with its length and checksum.
func (r *Record) Finish(load wire.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = wire.ResolveFinished
	r.buffer.ended.Add(int64(len(r.body)))
	r.lastFrame = &wire.Frame{
		Kind:     wire.FrameEnd,
		Attempt:  r.id,
		Length:   int64(len(r.body)),
		Checksum: xxhash.Sum64(r.body),
		Load:     &load,
	}
	r.notifyReaders()
}

// Refuse records that the attempt did not and will not run.
func (r *Record) Refuse(err error, load wire.Load) {
	r.close(wire.ResolveRefused, fault.RefusalOf(err, fault.NotRun), load)
}

// Fail records that the attempt reached the endpoint but has no complete answer.
func (r *Record) Fail(err error, load wire.Load) {
	r.close(wire.ResolveFailed, fault.RefusalOf(err, fault.Unknown), load)
}

func (r *Record) close(state wire.ResolveState, refusal fault.Refusal, load wire.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	r.buffer.ended.Add(int64(len(r.body)))
	r.lastFrame = &wire.Frame{Kind: wire.FrameRefusal, Attempt: r.id, Refusal: &refusal, Load: &load}
	r.notifyReaders()
}

// State returns the current state of the attempt.
func (r *Record) State() wire.ResolveState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Cursor is a reader's position in an answer.
type Cursor struct {
	HeadRead bool
	Offset   int64 // bytes of the body already read
}

// Read returns the frames after the cursor and advances it. If done is true the last frame is among them; otherwise
// changed is closed when there is more to read.
func (r *Record) Read(cursor *Cursor) (frames []wire.Frame, done bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bodyDropped {
		return []wire.Frame{r.droppedFrame()}, true, nil
	}
	if r.head != nil && !cursor.HeadRead {
		frames = append(frames, *r.head)
		cursor.HeadRead = true
	}
	for cursor.Offset < int64(len(r.body)) {
		frames = append(frames, r.dataFrame(cursor))
	}
	if r.lastFrame != nil {
		frames = append(frames, *r.lastFrame)
	}
	return frames, r.lastFrame != nil, r.changed
}

func (r *Record) dataFrame(cursor *Cursor) wire.Frame {
	end := min(cursor.Offset+maxFrameBytes, int64(len(r.body)))
	data := r.body[cursor.Offset:end:end]
	frame := wire.Frame{Kind: wire.FrameData, Attempt: r.id, Offset: cursor.Offset, Data: data}
	cursor.Offset = end
	return frame
}

func (r *Record) droppedFrame() wire.Frame {
	err := fault.New(fault.LostOutcome, "the request ran but its answer is no longer buffered", "read the result from the service")
	refusal := fault.RefusalOf(err, fault.Unknown)
	return wire.Frame{Kind: wire.FrameRefusal, Attempt: r.id, Refusal: &refusal}
}

// dropBody discards the buffered body of an attempt that has ended. It does nothing while the attempt runs.
func (r *Record) dropBody() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastFrame == nil || r.bodyDropped || len(r.body) == 0 {
		return
	}
	r.buffer.release(int64(len(r.body)))
	r.buffer.ended.Add(-int64(len(r.body)))
	r.body = nil
	r.bodyDropped = true
}

func (r *Record) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}
