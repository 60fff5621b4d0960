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
	Mark        Mark             `json:"mark,omitempty"`
	Fingerprint uint64           `json:"fingerprint"`        // of the request's content
	Suspect     bool             `json:"suspect,omitempty"`  // it has been running when an endpoint crashed
	Suspects    []Suspicion      `json:"suspects,omitempty"` // what the entry has heard of suspect requests
}

// Mark is a time of one life of an agent, in seconds since its start. An entry stamps an attempt with the latest mark
// that it had heard of, which proves that the attempt is not older.
type Mark uint64

// Suspicion is what is heard of a request by the fingerprint of its content. A whole answer begins a new round; of
// two reports the one with the higher round and then with more crashes holds.
type Suspicion struct {
	Fingerprint uint64 `json:"fingerprint"`
	Round       uint32 `json:"round"`
	Crashes     uint32 `json:"crashes"`
	AgeS        uint32 `json:"age_s"` // seconds since the last change, so that old news dies out
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
	Load        *Load          `json:"load,omitempty"`     // end, refusal and beat: the endpoint's load now
	Suspects    []Suspicion    `json:"suspects,omitempty"` // end and refusal: what the agent has heard of suspect requests
}

// Load is an endpoint's load as its agent knows it.
type Load struct {
	Running    int             `json:"running"`
	Queued     int             `json:"queued"`
	Limit      int             `json:"limit"`
	Generation core.Generation `json:"generation"`

	Incarnation core.Incarnation `json:"incarnation,omitempty"` // the agent's life that Mark belongs to
	Mark        Mark             `json:"mark,omitempty"`
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
	ResolveForgotten ResolveState = "forgotten"  // it may have run so long ago that the agent no longer knows
	ResolveOtherLife ResolveState = "other_life" // the agent that was asked for is gone
)

// MethodResolve asks an agent what became of an attempt.
const MethodResolve = "attempt.resolve"

// Resolve is the request of MethodResolve.
type Resolve struct {
	Attempt     core.AttemptID   `json:"attempt"`
	Incarnation core.Incarnation `json:"incarnation"`
	Mark        Mark             `json:"mark,omitempty"`
}

// Resolved is the answer of MethodResolve.
type Resolved struct {
	State       ResolveState     `json:"state"`
	Incarnation core.Incarnation `json:"incarnation"`
}

// MethodCancel asks an agent to stop an attempt whose caller has gone. An attempt that is not idempotent runs on.
const MethodCancel = "attempt.cancel"

// Cancel is the request of MethodCancel.
type Cancel struct {
	Attempt core.AttemptID `json:"attempt"`
}

// Cancelled is the answer of MethodCancel.
type Cancelled struct {
	Stopped bool `json:"stopped"`
}
