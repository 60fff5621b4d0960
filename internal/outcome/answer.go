package outcome

import (
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// frame takes one frame. A frame of another attempt, or one out of place, is never passed on.
func (f *Flow) frame(a *attempt, frame wire.Frame) []reduce.Effect {
	if frame.Attempt != a.ID {
		return f.lost(a)
	}
	switch frame.Kind {
	case wire.FrameHead:
		return f.head(a, frame)
	case wire.FrameData:
		return f.data(a, frame)
	case wire.FrameEnd:
		return f.end(a, frame)
	case wire.FrameRefusal:
		return f.refused(a, frame)
	}
	return nil
}

// head chooses the first attempt that answers; the others are given up.
func (f *Flow) head(a *attempt, frame wire.Frame) []reduce.Effect {
	if a.headed {
		return nil
	}
	a.headed = true
	f.chosen = a
	f.passed = streams(frame.ContentType)
	effects := []reduce.Effect{PassHead{Status: frame.Status, ContentType: frame.ContentType}}
	return append(effects, f.cancelOthers(a)...)
}

func (f *Flow) data(a *attempt, frame wire.Frame) []reduce.Effect {
	if a != f.chosen || frame.Offset != a.offset {
		return f.lost(a)
	}
	if len(frame.Data) == 0 {
		return nil
	}
	a.offset += int64(len(frame.Data))
	a.resumes = 0
	_, _ = a.hash.Write(frame.Data)
	return []reduce.Effect{PassData{Data: frame.Data}}
}

func (f *Flow) end(a *attempt, frame wire.Frame) []reduce.Effect {
	if a != f.chosen || frame.Length != a.offset {
		return f.lost(a)
	}
	if frame.Checksum != a.hash.Sum64() {
		return f.corrupted(a)
	}
	f.done = true
	return []reduce.Effect{Answer{}}
}

// corrupted reads an answer again of which the caller has seen nothing, and reports any other.
func (f *Flow) corrupted(a *attempt) []reduce.Effect {
	a.rereads++
	if f.passed || a.rereads > maxRereads {
		return f.failed(a, errCorrupted())
	}
	a.headed = false
	a.offset = 0
	a.hash.Reset()
	return f.lost(a)
}

// refused takes an agent's refusal. One that says "not run" is believed only before anything was heard of a run.
func (f *Flow) refused(a *attempt, frame wire.Frame) []reduce.Effect {
	if frame.Refusal == nil {
		return f.lost(a)
	}
	err := fault.FromRefusal(*frame.Refusal)
	if frame.Refusal.Outcome == fault.NotRun && !a.headed {
		a.stale = fault.Is(err, fault.WrongLife) && frame.Load != nil && frame.Load.Incarnation == a.Target.Incarnation
		return f.notRun(a, err)
	}
	if fault.Is(err, fault.EndpointFault) {
		f.crashes++
	}
	return f.failed(a, err)
}

// notSent believes that nothing was sent only of the connection that dispatches, before anything was heard on it.
func (f *Flow) notSent(a *attempt, err error) []reduce.Effect {
	if a.headed || a.conns > 1 {
		return f.lost(a)
	}
	return f.notRun(a, err)
}

// lost resolves an attempt over a fresh connection.
func (f *Flow) lost(a *attempt) []reduce.Effect {
	a.resumes++
	a.conn = noConn
	if a.resumes > maxResumes {
		return append([]reduce.Effect{Drop{Attempt: a.ID}}, f.failed(a, errLost())...)
	}
	return []reduce.Effect{Drop{Attempt: a.ID}, Resolve{Attempt: a.Attempt}}
}

func (f *Flow) resolved(a *attempt, state wire.ResolveState) []reduce.Effect {
	switch state {
	case wire.ResolveFinished, wire.ResolveRunning, wire.ResolveFailed:
		a.connect()
		return []reduce.Effect{Attach{Attempt: a.Attempt, Conn: a.conn, Offset: a.offset}}
	case wire.ResolveNever, wire.ResolveRefused:
		if !a.headed {
			return f.notRun(a, errNotReached())
		}
	case wire.ResolveOtherLife:
		return f.vanished(a)
	}
	return f.failed(a, errLost())
}

// vanished closes an attempt whose agent's life has ended.
func (f *Flow) vanished(a *attempt) []reduce.Effect {
	return append([]reduce.Effect{Crashed{}}, f.unreachable(a)...)
}

// unreachable closes an attempt whose agent cannot be asked. It may as well be cut off as crashed, so that this flow
// alone is careful with further attempts.
func (f *Flow) unreachable(a *attempt) []reduce.Effect {
	f.crashes++
	return f.failed(a, errLost())
}

func errLost() error {
	return fault.New(fault.LostOutcome, "the endpoint was lost while it may have run the request", "check whether it took effect, or send it again with the same Idempotency-Key")
}

func errNotReached() error {
	return fault.New(fault.Interrupted, "the attempt did not reach its endpoint", "send it again")
}

func errCorrupted() error {
	return fault.New(fault.Corrupted, "the answer differs from what the endpoint sent", "send the request again if it is idempotent")
}
