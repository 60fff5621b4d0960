// Package outcome decides which attempts are made for one caller's request and whether the caller can be told that the
// request did not run. It is a pure state machine: time, ids and everything received arrive as events, and everything
// to be done is returned as effects.
package outcome

import (
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Target is the incarnation of an agent that an attempt is dispatched to.
type Target struct {
	Version     core.VersionID // for models: the version that must answer
	Host        core.Host
	Incarnation core.Incarnation
	Mark        wire.Mark // the agent's latest time mark known to the entry
}

// Attempt is one dispatch of the request to one incarnation of an agent.
type Attempt struct {
	ID     core.AttemptID
	Target Target
}

// Started starts the flow.
type Started struct{ reduce.IsEvent }

// Picked carries the next attempt with its endpoint.
type Picked struct {
	reduce.IsEvent
	Attempt Attempt
}

// PickFailed says that no endpoint can be tried now.
type PickFailed struct {
	reduce.IsEvent
	Err error
}

// ClaimWritten says that the key's claim names the attempt.
type ClaimWritten struct {
	reduce.IsEvent
	Attempt  core.AttemptID
	Revision platform.Revision
}

// ClaimFound says which attempt the key's claim names instead: one of another call, or an earlier one of this call.
type ClaimFound struct {
	reduce.IsEvent
	Attempt     Attempt
	Revision    platform.Revision
	SameContent bool // the claim was made for a request with the same content
}

// ClaimAbsent says that no call has claimed the key.
type ClaimAbsent struct{ reduce.IsEvent }

// ClaimFailed says that the claim could not be read or written.
type ClaimFailed struct {
	reduce.IsEvent
	Err error
}

// NotSent says that no byte of the dispatch was sent.
type NotSent struct {
	reduce.IsEvent
	Attempt core.AttemptID
	Conn    int
	Err     error
}

// ConnLost says that a connection ended or timed out before the last frame of the answer.
type ConnLost struct {
	reduce.IsEvent
	Attempt core.AttemptID
	Conn    int
}

// FrameArrived carries a frame that was read from the attempt's connection.
type FrameArrived struct {
	reduce.IsEvent
	Attempt core.AttemptID
	Conn    int
	Frame   wire.Frame
}

// Resolved carries the state of the attempt as its agent reports it.
type Resolved struct {
	reduce.IsEvent
	Attempt core.AttemptID
	State   wire.ResolveState
}

// ResolveFailed says that the agent could not be asked.
type ResolveFailed struct {
	reduce.IsEvent
	Attempt core.AttemptID
}

// HedgeDue says that the hedging delay is over and a second attempt may be started.
type HedgeDue struct{ reduce.IsEvent }

// DeadlinePassed says that the caller's deadline has passed.
type DeadlinePassed struct{ reduce.IsEvent }

// CallerGone says that the caller has disconnected.
type CallerGone struct{ reduce.IsEvent }

// NoRoom says that the part of the answer that was forwarded last could not be stored.
type NoRoom struct{ reduce.IsEvent }
