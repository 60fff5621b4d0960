package outcome

import (
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

// Pick asks for an endpoint. The answer is Picked or PickFailed.
type Pick struct {
	reduce.IsEffect
	Exclude []core.HostID
	Again   bool // a further attempt, which the retry budget must allow
}

// Claim asks that the key's claim names the attempt, if its revision is still the one given. The answer is
// ClaimWritten, ClaimStands or ClaimFailed.
type Claim struct {
	reduce.IsEffect
	Attempt    Attempt
	IfRevision platform.Revision
}

// ReadClaim asks which attempt the key's claim names. The answer is ClaimStands, ClaimAbsent or ClaimFailed.
type ReadClaim struct{ reduce.IsEffect }

// Dispatch sends the attempt over the numbered connection. Frames, Lost or NotSent follow.
type Dispatch struct {
	reduce.IsEffect
	Attempt Attempt
	Conn    int
	Suspect bool // it has been running when an endpoint crashed
}

// Attach reads the attempt's answer from the offset over the numbered connection. Frames or Lost follow.
type Attach struct {
	reduce.IsEffect
	Attempt Attempt
	Conn    int
	Offset  int64
}

// Drop closes the attempt's connection.
type Drop struct {
	reduce.IsEffect
	Attempt core.AttemptID
}

// Resolve asks the agent over a fresh connection what became of the attempt. Resolved or ResolveFailed follows.
type Resolve struct {
	reduce.IsEffect
	Attempt Attempt
}

// Cancel tells the agent that nobody waits for the attempt.
type Cancel struct {
	reduce.IsEffect
	Attempt Attempt
}

// Crashed reports that the request was running when its agent's life ended.
type Crashed struct{ reduce.IsEffect }

// PassHead begins the answer, and discards what was held of another attempt's.
type PassHead struct {
	reduce.IsEffect
	Status      int
	ContentType string
}

// PassData passes on the next part of the answer.
type PassData struct {
	reduce.IsEffect
	Data []byte
}

// Answer ends the flow: the whole answer has been passed on.
type Answer struct{ reduce.IsEffect }

// Refuse ends the flow with an error and whether the request ran.
type Refuse struct {
	reduce.IsEffect
	Err     error
	Outcome fault.Outcome
}
