package outcome

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// dispatchFault is the fault, if any, that one dispatch meets.
type dispatchFault int

const (
	noFault dispatchFault = iota
	refusedByAgent
	connectFailed
	lostBeforeArrival // the agent never receives the dispatch
	cutMidAnswer      // the connection ends after half of the answer; the agent has all of it
	foreignFrame      // a frame of another attempt arrives, the rest on a new connection
	duplicateData     // a part of the answer arrives twice, the rest on a new connection
	refusalAfterHead  // the agent reports "not run" after the head of an answer
	backendDied       // in the middle of its answer; the agent reports the failure
	agentCrashed      // while it ran the attempt
	checksumWrong     // at every read
	dispatchFaultCount
)

const answerBody = "data: a\n\ndata: [DONE]\n\n"

// scenario is a request with the faults that its dispatches meet in turn.
type scenario struct {
	idempotent bool
	streaming  bool
	claim      claimCase
	faults     []dispatchFault
}

// claimCase is the state of the claim on the request's key.
type claimCase int

const (
	noClaim claimCase = iota
	claimFree
	claimAnswered     // names an attempt of another call that was answered
	claimNeverArrived // names an attempt of another call that never arrived at its agent
	claimAgentGone    // names an attempt of another call whose agent has restarted
	claimConflict     // names an attempt of a request with other content
	claimPlatformDown
	claimCaseCount
)

// result is the outcome of a scenario.
type result struct {
	answered   bool
	outcome    fault.Outcome
	dispatches int
}

// fakeEnvironment performs a flow's effects as its scenario specifies.
type fakeEnvironment struct {
	scenario       scenario
	nextIndex      int
	lastDispatched core.AttemptID
	faults         map[core.AttemptID]dispatchFault
	received       []byte
	result         result
}

func run(s scenario) (result, []byte) {
	env := &fakeEnvironment{scenario: s, faults: make(map[core.AttemptID]dispatchFault)}
	flow := NewFlow(Request{Idempotent: s.idempotent, ClaimRequired: s.claim != noClaim})
	queue := []reduce.Event{Started{}}
	for len(queue) > 0 && !flow.Done() {
		for _, effect := range flow.Step(queue[0]) {
			queue = append(queue, env.perform(effect)...)
		}
		queue = queue[1:]
	}
	return env.result, env.received
}

func (env *fakeEnvironment) perform(effect reduce.Effect) []reduce.Event {
	switch effect := effect.(type) {
	case Pick:
		return []reduce.Event{Picked{Attempt: Attempt{ID: core.AttemptID(fmt.Sprint("a", env.nextIndex))}}}
	case WriteClaim:
		return []reduce.Event{env.claim(effect)}
	case ReadClaim:
		return []reduce.Event{ClaimFound{Attempt: Attempt{ID: env.lastDispatched}, Revision: 9, SameContent: true}}
	case Dispatch:
		env.lastDispatched = effect.Attempt.ID
		env.result.dispatches++
		env.faults[effect.Attempt.ID] = env.scenario.faults[env.nextIndex%len(env.scenario.faults)]
		env.nextIndex++
		return env.connect(effect.Attempt.ID, effect.Conn, 0, true)
	case Attach:
		return env.connect(effect.Attempt.ID, effect.Conn, effect.Offset, false)
	case Resolve:
		return []reduce.Event{Resolved{Attempt: effect.Attempt.ID, State: env.state(effect.Attempt.ID)}}
	case ForwardHead:
		env.received = nil
	case ForwardData:
		env.received = append(env.received, effect.Data...)
	case Complete:
		env.result.answered = true
	case Fail:
		env.result.outcome = effect.Outcome
	}
	return nil
}

func (env *fakeEnvironment) claim(effect WriteClaim) reduce.Event {
	written := ClaimWritten{Attempt: effect.Attempt.ID, Revision: effect.IfRevision + 1}
	existing := ClaimFound{Attempt: Attempt{ID: "other"}, Revision: 1, SameContent: env.scenario.claim != claimConflict}
	switch {
	case env.scenario.claim == claimPlatformDown:
		return ClaimFailed{Err: fault.New(fault.PlatformUnavailable, "down", "wait")}
	case env.scenario.claim == claimFree || effect.IfRevision > 0:
		return written
	case env.scenario.claim == claimAgentGone:
		env.faults["other"] = agentCrashed
	case env.scenario.claim == claimNeverArrived:
		env.faults["other"] = lostBeforeArrival
	}
	return existing
}

func (env *fakeEnvironment) state(id core.AttemptID) wire.ResolveState {
	switch env.faults[id] {
	case lostBeforeArrival:
		return wire.ResolveNeverSeen
	case agentCrashed:
		return wire.ResolveOtherIncarnation
	case backendDied:
		return wire.ResolveFailed
	}
	return wire.ResolveFinished
}

// connect returns the events of one connection that reads from the offset.
func (env *fakeEnvironment) connect(id core.AttemptID, conn int, offset int64, first bool) []reduce.Event {
	frame := func(f wire.Frame) reduce.Event { return FrameArrived{Attempt: id, Conn: conn, Frame: f} }
	contentType := "application/json"
	if env.scenario.streaming {
		contentType = "text/event-stream"
	}
	head := frame(wire.Frame{Kind: wire.FrameHead, Attempt: id, Status: 200, ContentType: contentType})
	half := frame(wire.Frame{Kind: wire.FrameData, Attempt: id, Offset: offset, Data: []byte(answerBody[offset : len(answerBody)/2])})
	lost := ConnLost{Attempt: id, Conn: conn}
	switch f := env.faults[id]; {
	case f == refusedByAgent:
		refusal := fault.RefusalOf(fault.New(fault.Overloaded, "full", "wait"), fault.NotRun)
		return []reduce.Event{frame(wire.Frame{Kind: wire.FrameRefusal, Attempt: id, Refusal: &refusal})}
	case f == connectFailed:
		return []reduce.Event{NotSent{Attempt: id, Conn: conn, Err: errNotReached()}}
	case f == lostBeforeArrival:
		return []reduce.Event{lost}
	case f == agentCrashed, f == cutMidAnswer && first:
		return []reduce.Event{head, half, lost}
	case f == backendDied:
		refusal := fault.RefusalOf(fault.New(fault.EndpointFault, "cut", "wait"), fault.Unknown)
		return []reduce.Event{head, half, frame(wire.Frame{Kind: wire.FrameRefusal, Attempt: id, Refusal: &refusal})}
	case f == duplicateData && first:
		return []reduce.Event{head, half, half}
	case f == refusalAfterHead:
		refusal := fault.RefusalOf(fault.New(fault.Overloaded, "full", "wait"), fault.NotRun)
		return []reduce.Event{head, frame(wire.Frame{Kind: wire.FrameRefusal, Attempt: id, Refusal: &refusal})}
	case f == foreignFrame && first:
		return []reduce.Event{head, half, frame(wire.Frame{Kind: wire.FrameData, Attempt: "else", Offset: int64(len(answerBody) / 2), Data: []byte("x")})}
	}
	data := frame(wire.Frame{Kind: wire.FrameData, Attempt: id, Offset: offset, Data: []byte(answerBody[offset:])})
	end := wire.Frame{Kind: wire.FrameEnd, Attempt: id, Length: int64(len(answerBody)), Checksum: xxhash.Sum64String(answerBody)}
	if env.faults[id] == checksumWrong {
		end.Checksum++
	}
	return []reduce.Event{head, data, frame(end)}
}

// expected returns the result that a scenario must have, by a simple reference model.
func expected(s scenario) result {
	var r result
	switch s.claim {
	case claimAnswered:
		return result{answered: true}
	case claimAgentGone, claimPlatformDown:
		return result{outcome: fault.Unknown}
	case claimConflict:
		return result{outcome: fault.NotRun}
	}
	r.outcome = fault.NotRun
	crashes := 0
	for i := range maxAttempts {
		r.dispatches++
		switch s.faults[i%len(s.faults)] {
		case noFault, cutMidAnswer, foreignFrame, duplicateData:
			return result{answered: true, dispatches: r.dispatches}
		case backendDied, agentCrashed:
			crashes++
			r.outcome = fault.Unknown
		case checksumWrong, refusalAfterHead:
			r.outcome = fault.Unknown
		default:
			continue
		}
		if !s.idempotent || s.streaming || crashes == maxCrashes {
			return r
		}
	}
	return r
}
