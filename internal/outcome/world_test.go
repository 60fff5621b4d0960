package outcome

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// fate is what befalls one dispatch.
type fate int

const (
	whole     fate = iota
	refused        // by the agent
	unsent         // no connection
	never          // the dispatch was lost on its way
	resumed        // cut after half of the answer, finished at the agent
	crossed        // a frame of another attempt arrives, the rest on a fresh connection
	repeated       // a part arrives twice, the rest on a fresh connection
	belated        // the agent says "not run" after the head of an answer
	cut            // the back end ended in the middle of its answer
	vanished       // the agent's life ended while it ran
	corrupted      // every reading ends with a wrong checksum
	fates
)

const body = "data: a\n\ndata: [DONE]\n\n"

// script is a request and what befalls its dispatches in turn.
type script struct {
	idempotent bool
	streaming  bool
	claim      claimFate
	fates      []fate
}

// claimFate is what the request's claim comes to.
type claimFate int

const (
	unclaimed claimFate = iota
	free
	held     // by a call that was answered
	unused   // by a call whose dispatch never arrived
	orphaned // by a call whose agent is gone
	conflict // by a call of other content
	platformDown
	claimFates
)

// result is what a request came to.
type result struct {
	answered   bool
	outcome    fault.Outcome
	dispatches int
}

// world answers a flow's effects as the script says.
type world struct {
	script script
	next   int
	last   core.AttemptID
	fates  map[core.AttemptID]fate
	got    []byte
	result result
}

func play(s script) (result, []byte) {
	w := &world{script: s, fates: make(map[core.AttemptID]fate)}
	flow := NewFlow(Request{Idempotent: s.idempotent, Claimed: s.claim != unclaimed})
	queue := []reduce.Event{Started{}}
	for len(queue) > 0 && !flow.Done() {
		for _, effect := range flow.Step(queue[0]) {
			queue = append(queue, w.perform(effect)...)
		}
		queue = queue[1:]
	}
	return w.result, w.got
}

func (w *world) perform(effect reduce.Effect) []reduce.Event {
	switch effect := effect.(type) {
	case Pick:
		return []reduce.Event{Picked{Attempt: Attempt{ID: core.AttemptID(fmt.Sprint("a", w.next))}}}
	case Claim:
		return []reduce.Event{w.claim(effect)}
	case ReadClaim:
		return []reduce.Event{ClaimStands{Attempt: Attempt{ID: w.last}, Revision: 9, Same: true}}
	case Dispatch:
		w.last = effect.Attempt.ID
		w.result.dispatches++
		w.fates[effect.Attempt.ID] = w.script.fates[w.next%len(w.script.fates)]
		w.next++
		return w.connect(effect.Attempt.ID, effect.Conn, 0, true)
	case Attach:
		return w.connect(effect.Attempt.ID, effect.Conn, effect.Offset, false)
	case Resolve:
		return []reduce.Event{Resolved{Attempt: effect.Attempt.ID, State: w.state(effect.Attempt.ID)}}
	case PassHead:
		w.got = nil
	case PassData:
		w.got = append(w.got, effect.Data...)
	case Answer:
		w.result.answered = true
	case Refuse:
		w.result.outcome = effect.Outcome
	}
	return nil
}

func (w *world) claim(effect Claim) reduce.Event {
	written := ClaimWritten{Attempt: effect.Attempt.ID, Revision: effect.IfRevision + 1}
	stands := ClaimStands{Attempt: Attempt{ID: "other"}, Revision: 1, Same: w.script.claim != conflict}
	switch {
	case w.script.claim == platformDown:
		return ClaimFailed{Err: fault.New(fault.PlatformDown, "down", "wait")}
	case w.script.claim == free || effect.IfRevision > 0:
		return written
	case w.script.claim == orphaned:
		w.fates["other"] = vanished
	case w.script.claim == unused:
		w.fates["other"] = never
	}
	return stands
}

func (w *world) state(id core.AttemptID) wire.ResolveState {
	switch w.fates[id] {
	case never:
		return wire.ResolveNever
	case vanished:
		return wire.ResolveOtherLife
	case cut:
		return wire.ResolveFailed
	}
	return wire.ResolveFinished
}

// connect plays one connection from the offset.
func (w *world) connect(id core.AttemptID, conn int, offset int64, first bool) []reduce.Event {
	frame := func(f wire.Frame) reduce.Event { return FrameArrived{Attempt: id, Conn: conn, Frame: f} }
	contentType := "application/json"
	if w.script.streaming {
		contentType = "text/event-stream"
	}
	head := frame(wire.Frame{Kind: wire.FrameHead, Attempt: id, Status: 200, ContentType: contentType})
	half := frame(wire.Frame{Kind: wire.FrameData, Attempt: id, Offset: offset, Data: []byte(body[offset : len(body)/2])})
	lost := Lost{Attempt: id, Conn: conn}
	switch f := w.fates[id]; {
	case f == refused:
		refusal := fault.RefusalOf(fault.New(fault.Overloaded, "full", "wait"), fault.NotRun)
		return []reduce.Event{frame(wire.Frame{Kind: wire.FrameRefusal, Attempt: id, Refusal: &refusal})}
	case f == unsent:
		return []reduce.Event{NotSent{Attempt: id, Conn: conn, Err: errNotReached()}}
	case f == never:
		return []reduce.Event{lost}
	case f == vanished, f == resumed && first:
		return []reduce.Event{head, half, lost}
	case f == cut:
		refusal := fault.RefusalOf(fault.New(fault.EndpointFault, "cut", "wait"), fault.Unknown)
		return []reduce.Event{head, half, frame(wire.Frame{Kind: wire.FrameRefusal, Attempt: id, Refusal: &refusal})}
	case f == repeated && first:
		return []reduce.Event{head, half, half}
	case f == belated:
		refusal := fault.RefusalOf(fault.New(fault.Overloaded, "full", "wait"), fault.NotRun)
		return []reduce.Event{head, frame(wire.Frame{Kind: wire.FrameRefusal, Attempt: id, Refusal: &refusal})}
	case f == crossed && first:
		return []reduce.Event{head, half, frame(wire.Frame{Kind: wire.FrameData, Attempt: "else", Offset: int64(len(body) / 2), Data: []byte("x")})}
	}
	data := frame(wire.Frame{Kind: wire.FrameData, Attempt: id, Offset: offset, Data: []byte(body[offset:])})
	end := wire.Frame{Kind: wire.FrameEnd, Attempt: id, Length: int64(len(body)), Checksum: xxhash.Sum64String(body)}
	if w.fates[id] == corrupted {
		end.Checksum++
	}
	return []reduce.Event{head, data, frame(end)}
}

// naive says in the plainest way what a script must come to.
func naive(s script) result {
	var r result
	switch s.claim {
	case held:
		return result{answered: true}
	case orphaned, platformDown:
		return result{outcome: fault.Unknown}
	case conflict:
		return result{outcome: fault.NotRun}
	}
	r.outcome = fault.NotRun
	lives := 0
	for i := range maxAttempts {
		r.dispatches++
		switch s.fates[i%len(s.fates)] {
		case whole, resumed, crossed, repeated:
			return result{answered: true, dispatches: r.dispatches}
		case cut, vanished:
			lives++
			r.outcome = fault.Unknown
		case corrupted, belated:
			r.outcome = fault.Unknown
		default:
			continue
		}
		if !s.idempotent || s.streaming || lives == maxCrashes {
			return r
		}
	}
	return r
}
