// Package wire holds the messages that the system's own processes send each other. Attempts and weight chunks travel
// by HTTP on a process's data address; all other messages travel by JSON-RPC on its control address.
package wire

import (
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// PathAttempts is the HTTP path of attempts on an agent's data address. POST dispatches, GET re-attaches.
const PathAttempts = "/v1/attempts"

// Dispatch asks an agent to run one attempt of a request. It is the body of a POST to PathAttempts; the answer is a
// stream of frames, one JSON object a line.
type Dispatch struct {
	Attempt     core.AttemptID   `json:"attempt"`
	Request     core.RequestID   `json:"request"`
	Incarnation core.Incarnation `json:"incarnation"` // the agent's life that this attempt is meant for
	Generation  core.Generation  `json:"generation"`  // the configuration that the entry decided under
	Control     string           `json:"control"`     // control address of the entry, which gives that configuration
	Service     core.Service     `json:"service"`
	Workspace   core.Workspace   `json:"workspace"`
	Version     core.VersionID   `json:"version,omitempty"` // for a model: the version that must answer
	Method      string           `json:"method"`
	Path        string           `json:"path"`
	ContentType string           `json:"content_type,omitempty"`
	Key         string           `json:"key,omitempty"` // the caller's idempotency key
	Body        []byte           `json:"body,omitempty"`
	Idempotent  bool             `json:"idempotent"`
	Priority    int              `json:"priority"`  // higher goes first
	BudgetMS    int64            `json:"budget_ms"` // milliseconds left until the caller's deadline
}

// FrameKind says what a frame carries.
type FrameKind string

// The kinds of frames. An answer is one head, any number of data and beat frames, and one end; or one refusal.
const (
	FrameHead    FrameKind = "head"
	FrameData    FrameKind = "data"
	FrameBeat    FrameKind = "beat"
	FrameEnd     FrameKind = "end"
	FrameRefusal FrameKind = "refusal"
)

// Frame is one line of an attempt's answer stream.
type Frame struct {
	Kind        FrameKind      `json:"kind"`
	Attempt     core.AttemptID `json:"attempt"`
	Offset      int64          `json:"offset,omitempty"` // data: position of the first byte in the answer's body
	Data        []byte         `json:"data,omitempty"`
	Status      int            `json:"status,omitempty"` // head: HTTP status of the endpoint's answer
	ContentType string         `json:"content_type,omitempty"`
	Length      int64          `json:"length,omitempty"`   // end: bytes of the whole body
	Checksum    uint64         `json:"checksum,omitempty"` // end: xxhash64 of the whole body
	Refusal     *fault.Refusal `json:"refusal,omitempty"`
	Load        *Load          `json:"load,omitempty"` // end, refusal and beat: the endpoint's load now
}

// Load is an endpoint's load as its agent knows it.
type Load struct {
	Running    int             `json:"running"`
	Queued     int             `json:"queued"`
	Limit      int             `json:"limit"`
	Generation core.Generation `json:"generation"`
}

// ResolveState is an agent's word on an attempt.
type ResolveState string

// The states that a resolve can find.
const (
	ResolveFinished  ResolveState = "finished"   // the whole answer is held: re-attach to read it
	ResolveRunning   ResolveState = "running"    // re-attach to follow it
	ResolveRefused   ResolveState = "refused"    // refused before it ran
	ResolveNever     ResolveState = "never"      // never seen; a tombstone now refuses a late copy
	ResolveFailed    ResolveState = "failed"     // it reached the endpoint and has no whole answer
	ResolveOtherLife ResolveState = "other_life" // the agent that was asked for is gone
)

// MethodResolve asks an agent what became of an attempt.
const MethodResolve = "attempt.resolve"

// Resolve is the request of MethodResolve.
type Resolve struct {
	Attempt     core.AttemptID   `json:"attempt"`
	Incarnation core.Incarnation `json:"incarnation"`
}

// Resolved is the answer of MethodResolve.
type Resolved struct {
	State       ResolveState     `json:"state"`
	Incarnation core.Incarnation `json:"incarnation"`
}

// MethodCancel asks an agent to stop an attempt whose caller has gone. An attempt that is not idempotent runs on.
const MethodCancel = "attempt.cancel"
