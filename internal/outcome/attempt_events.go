package outcome

import (
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/response"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// onFrame handles one frame of an attempt. A frame that carries another attempt's id closes the connection.
func (f *Flow) onFrame(a *attemptState, frame wire.Frame) []reduce.Effect {
	if frame.Attempt != a.ID {
		return f.resolveAfterLoss(a)
	}
	switch frame.Kind {
	case wire.FrameHead:
		return f.onHead(a, frame)
	case wire.FrameData:
		return f.onData(a, frame)
	case wire.FrameEnd:
		return f.onEnd(a, frame)
	case wire.FrameRefusal:
		return f.onRefusal(a, frame)
	}
	return nil
}

// onHead selects the first attempt that answers and gives up the others. A repeated head of one attempt is ignored. A head without the
// status of a response closes the connection.
func (f *Flow) onHead(a *attemptState, frame wire.Frame) []reduce.Effect {
	if a.headReceived {
		return nil
	}
	if !response.IsFinalStatus(frame.Status) {
		return f.resolveAfterLoss(a)
	}
	a.headReceived = true
	f.selected = a
	f.forwarded = isEventStream(frame.ContentType)
	effects := []reduce.Effect{ForwardHead{Status: frame.Status, ContentType: frame.ContentType}}
	return append(effects, f.cancelPending(a)...)
}

// onData forwards the next part of the answer. Data of an attempt that is not selected, or at an unexpected offset,
// closes the connection.
func (f *Flow) onData(a *attemptState, frame wire.Frame) []reduce.Effect {
	if a != f.selected || frame.Offset != a.offset {
		return f.resolveAfterLoss(a)
	}
	if len(frame.Data) == 0 {
		return nil
	}
	if a.offset+int64(len(frame.Data)) > wire.MaxAnswerBytes {
		return append([]reduce.Effect{CloseConn{Attempt: a.ID}}, f.closeUnknown(a, errAnswerTooLarge())...)
	}
	a.offset += int64(len(frame.Data))
	a.fruitlessResumes = 0
	_, _ = a.checksum.Write(frame.Data)
	return []reduce.Effect{ForwardData{Data: frame.Data}}
}

// onEnd completes the flow if the answer's length and checksum match.
func (f *Flow) onEnd(a *attemptState, frame wire.Frame) []reduce.Effect {
	if a != f.selected || frame.Length != a.offset {
		return f.resolveAfterLoss(a)
	}
	if frame.Checksum != a.checksum.Sum64() {
		return f.onChecksumMismatch(a)
	}
	f.done = true
	return []reduce.Effect{Complete{}}
}

// onChecksumMismatch reads the answer again if none of it has been forwarded to the caller, at most maxChecksumRetries
// times. Otherwise the attempt fails.
func (f *Flow) onChecksumMismatch(a *attemptState) []reduce.Effect {
	a.checksumRetries++
	if f.forwarded || a.checksumRetries > maxChecksumRetries {
		return f.closeUnknown(a, errCorrupted())
	}
	a.headReceived = false
	a.offset = 0
	a.checksum.Reset()
	return f.resolveAfterLoss(a)
}

// onRefusal handles an agent's refusal. Its statement that the request did not run is trusted only before the head of
// an answer has arrived.
func (f *Flow) onRefusal(a *attemptState, frame wire.Frame) []reduce.Effect {
	if frame.Refusal == nil {
		return f.resolveAfterLoss(a)
	}
	err := fault.FromRefusal(*frame.Refusal)
	notRun := frame.Refusal.Outcome == fault.NotRun || a.isUnstarted(err)
	if notRun && !a.headReceived {
		a.markTooOld = fault.Is(err, fault.WrongIncarnation) && frame.Load != nil && frame.Load.Incarnation == a.Target.Incarnation
		return f.closeNotRun(a, err)
	}
	if fault.Is(err, fault.EndpointFault) {
		f.crashes++
	}
	return f.closeUnknown(a, err)
}

// isUnstarted reports whether the error refuses the attempt's only dispatch because of its incarnation or time mark. The
// agent itself cannot rule out that it ran an earlier copy, but there was none.
func (a *attemptState) isUnstarted(err error) bool {
	return fault.Is(err, fault.WrongIncarnation) && a.dispatched && !a.fromOtherCall && a.connCount == 1
}

// onNotSent handles a connection on which nothing was sent. If it is the attempt's first connection, which carries the
// dispatch, and no head has arrived, the attempt did not run. Otherwise the agent is asked for the attempt's state.
func (f *Flow) onNotSent(a *attemptState, err error) []reduce.Effect {
	if a.headReceived || a.connCount > 1 {
		return f.resolveAfterLoss(a)
	}
	return f.closeNotRun(a, err)
}

// resolveAfterLoss closes the attempt's connection and asks the agent for the attempt's state over a new one. It fails
// the attempt once too many connections in a row brought no new data.
func (f *Flow) resolveAfterLoss(a *attemptState) []reduce.Effect {
	a.fruitlessResumes++
	a.currentConn = noConn
	if a.fruitlessResumes > maxFruitlessResumes {
		return append([]reduce.Effect{CloseConn{Attempt: a.ID}}, f.closeUnknown(a, errOutcomeLost())...)
	}
	return []reduce.Effect{CloseConn{Attempt: a.ID}, Resolve{Attempt: a.Attempt}}
}

// onResolved continues an attempt according to the state that its agent reports.
func (f *Flow) onResolved(a *attemptState, state wire.ResolveState) []reduce.Effect {
	switch state {
	case wire.ResolveFinished, wire.ResolveRunning, wire.ResolveFailed:
		a.nextConn()
		return []reduce.Effect{Attach{Attempt: a.Attempt, Conn: a.currentConn, Offset: a.offset}}
	case wire.ResolveNeverSeen, wire.ResolveRefused:
		if !a.headReceived {
			return f.closeNotRun(a, errNotReached())
		}
	case wire.ResolveOtherIncarnation:
		return f.onIncarnationEnded(a)
	}
	return f.closeUnknown(a, errOutcomeLost())
}

// onIncarnationEnded closes an attempt whose agent incarnation has ended, and reports the crash.
func (f *Flow) onIncarnationEnded(a *attemptState) []reduce.Effect {
	return append([]reduce.Effect{ReportCrash{}}, f.onUnreachable(a)...)
}

// onUnreachable closes an attempt whose agent cannot be asked. The agent may be partitioned rather than crashed, so the
// crash counts for this flow only and is not reported.
func (f *Flow) onUnreachable(a *attemptState) []reduce.Effect {
	f.crashes++
	return f.closeUnknown(a, errOutcomeLost())
}

func errAnswerTooLarge() error {
	return fault.New(fault.TooLarge, "the answer is larger than an agent can store", "request a smaller answer")
}

func errOutcomeLost() error {
	return fault.New(fault.LostOutcome, "the connection to the endpoint was lost while it may have been running the request", "check whether it took effect, or send it again with the same Idempotency-Key")
}

func errNotReached() error {
	return fault.New(fault.Interrupted, "the attempt did not reach its endpoint", "send it again")
}

func errCorrupted() error {
	return fault.New(fault.Corrupted, "the answer does not match the checksum that the endpoint sent", "send the request again if it is idempotent")
}
