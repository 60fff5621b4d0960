// Package outcome decides what becomes of one caller's request over its attempts, and what may truly be said of it.
// It is a pure reducer: time, ids and everything that was heard arrive as events; everything to be done leaves as
// effects.
package outcome

import (
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Target is one life of an agent.
type Target struct {
	Version     core.VersionID // of a model: the version that must answer
	Host        core.Host
	Incarnation core.Incarnation
	Mark        wire.Mark // the agent's latest time mark that the entry had heard of
}

// Attempt is one dispatch of the request, bound to one life of one agent.
type Attempt struct {
	ID     core.AttemptID
	Target Target
}

// Started begins the flow.
type Started struct{ reduce.IsEvent }

// Picked brings the next attempt and its endpoint.
type Picked struct {
	reduce.IsEvent
	Attempt Attempt
}

// PickFailed says that no endpoint may be tried now.
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

// ClaimStands says that the key's claim names an attempt of another call.
type ClaimStands struct {
	reduce.IsEvent
	Attempt  Attempt
	Revision platform.Revision
	Same     bool // the other call had the same content
}

// ClaimAbsent says that no call has claimed the key.
type ClaimAbsent struct{ reduce.IsEvent }

// ClaimFailed says that the platform gave no word on the claim.
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

// Lost says that a connection ended or fell silent before the answer's last frame.
type Lost struct {
	reduce.IsEvent
	Attempt core.AttemptID
	Conn    int
}

// FrameArrived brings a frame that was read from the attempt's connection.
type FrameArrived struct {
	reduce.IsEvent
	Attempt core.AttemptID
	Conn    int
	Frame   wire.Frame
}

// Resolved brings the agent's word on the attempt.
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

// HedgeDue says that the request has waited long enough for a second attempt beside the first.
type HedgeDue struct{ reduce.IsEvent }

// DeadlinePassed says that the caller's deadline passed.
type DeadlinePassed struct{ reduce.IsEvent }

// CallerGone says that nobody reads the answer any more.
type CallerGone struct{ reduce.IsEvent }
