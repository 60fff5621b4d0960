package outcome

import (
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

// Pick asks for an endpoint. Picked or PickFailed follows.
type Pick struct {
	reduce.IsEffect
	Exclude []core.HostID
	Retry   bool // a retry or a hedge, which needs room in the retry budget
}

// WriteClaim asks to make the key's claim name the attempt if the claim still has the given revision. One of the claim
// events follows.
type WriteClaim struct {
	reduce.IsEffect
	Attempt    Attempt
	IfRevision platform.Revision
}

// ReadClaim asks which attempt the key's claim names. One of the claim events follows, but not ClaimWritten.
type ReadClaim struct{ reduce.IsEffect }

// Dispatch sends the attempt over the numbered connection. Events of that connection follow.
type Dispatch struct {
	reduce.IsEffect
	Attempt Attempt
	Conn    int
	Suspect bool // the request was running when an endpoint crashed
}

// Attach reads the attempt's answer from the byte offset over the numbered connection. Events of that connection
// follow, but not NotSent.
type Attach struct {
	reduce.IsEffect
	Attempt Attempt
	Conn    int
	Offset  int64
}

// CloseConn closes the attempt's connection.
type CloseConn struct {
	reduce.IsEffect
	Attempt core.AttemptID
}

// Resolve asks the agent for the state of the attempt over a new connection. Resolved or ResolveFailed follows.
type Resolve struct {
	reduce.IsEffect
	Attempt Attempt
}

// Cancel tells the agent that nobody waits for the attempt any more.
type Cancel struct {
	reduce.IsEffect
	Attempt Attempt
}

// ReportCrash reports that the request was running when its agent's incarnation ended.
type ReportCrash struct{ reduce.IsEffect }

// ForwardHead starts the answer to the caller and discards what is buffered of an earlier answer. An event stream is
// sent to the caller as it arrives; any other answer is buffered until Complete.
type ForwardHead struct {
	reduce.IsEffect
	Status      int
	ContentType string
}

// ForwardData appends data to the answer.
type ForwardData struct {
	reduce.IsEffect
	Data []byte
}

// Complete ends the flow: all of the answer has been forwarded.
type Complete struct{ reduce.IsEffect }

// Fail ends the flow with an error. Outcome says whether the request ran.
type Fail struct {
	reduce.IsEffect
	Err     error
	Outcome fault.Outcome
}
