// Package wire defines the messages between the system's own processes. Attempts and weight chunks travel over HTTP
// on a process's data address, all other messages over JSON-RPC on its control address.
package wire

import (
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// PathAttempts is the HTTP path of attempts on an agent's data address: POST dispatches an attempt, GET on
// PathAttempts/ID attaches to one again.
const PathAttempts = "/v1/attempts"

// MaxAnswerBytes bounds the body of an answer, which its agent stores.
const MaxAnswerBytes = 16 << 20

// MaxFrameBytes bounds a frame. It has room for the largest part of an answer and the reports beside it.
const MaxFrameBytes = 1 << 20

// Dispatch asks an agent to run one attempt of a request. It is the body of a POST to PathAttempts. The response is
// a stream of frames, one JSON object per line.
type Dispatch struct {
	Attempt        core.AttemptID   `json:"attempt"`
	Request        core.RequestID   `json:"request"`
	Incarnation    core.Incarnation `json:"incarnation"` // incarnation of the agent that this attempt is meant for
	Generation     core.Generation  `json:"generation"`  // configuration under which the entry chose the endpoint
	ControlAddress string           `json:"control"`     // control address of the entry, from which that configuration can be read
	Service        core.Service     `json:"service"`
	Workspace      core.Workspace   `json:"workspace"`
	Version        core.VersionID   `json:"version,omitempty"` // for a model: the version that is expected to answer
	Method         string           `json:"method"`
	Path           string           `json:"path"`
	ContentType    string           `json:"content_type,omitempty"`
	Key            string           `json:"key,omitempty"` // the caller's idempotency key
	Body           []byte           `json:"body,omitempty"`
	Idempotent     bool             `json:"idempotent"`
	Priority       int              `json:"priority"`  // higher runs first
	BudgetMS       int64            `json:"budget_ms"` // milliseconds left until the caller's deadline
	Mark           Mark             `json:"mark,omitempty"`
	Fingerprint    uint64           `json:"fingerprint"`        // of the request's content
	Suspect        bool             `json:"suspect,omitempty"`  // an endpoint crashed while it ran this request
	Suspects       []SuspectReport  `json:"suspects,omitempty"` // suspect requests known to the entry
}

// Mark is a point in time within one incarnation of an agent, in seconds since the agent's start. An entry stamps
// each attempt with the latest mark it has received from the agent, which proves that the attempt is not older than
// that.
type Mark uint64

// SuspectReport reports how often endpoints crashed while they ran a request. The request is identified by the
// fingerprint of its content. A complete answer starts a new round. Of two reports, the one with the higher round
// wins, then the one with more crashes.
type SuspectReport struct {
	Fingerprint uint64 `json:"fingerprint"`
	Round       uint32 `json:"round"`
	Crashes     uint32 `json:"crashes"`
	AgeS        uint32 `json:"age_s"` // seconds since the last change, so that old reports expire
}

// FrameKind is the kind of a frame.
type FrameKind string

// The kinds of frames. A response is either one head, any number of data and heartbeat frames and one end, or a
// single refusal.
const (
	FrameHead      FrameKind = "head"
	FrameData      FrameKind = "data"
	FrameHeartbeat FrameKind = "beat"
	FrameEnd       FrameKind = "end"
	FrameRefusal   FrameKind = "refusal"
)

// Frame is one line of an attempt's response stream.
type Frame struct {
	Kind        FrameKind       `json:"kind"`
	Attempt     core.AttemptID  `json:"attempt"`
	Offset      int64           `json:"offset,omitempty"` // data: position of the first byte in the answer's body
	Data        []byte          `json:"data,omitempty"`
	Status      int             `json:"status,omitempty"` // head: HTTP status of the endpoint's answer
	ContentType string          `json:"content_type,omitempty"`
	Length      int64           `json:"length,omitempty"`   // end: size of the complete body in bytes
	Checksum    uint64          `json:"checksum,omitempty"` // end: xxhash64 of the complete body
	Refusal     *fault.Refusal  `json:"refusal,omitempty"`
	Load        *Load           `json:"load,omitempty"`     // end, refusal and heartbeat: current load of the endpoint
	Suspects    []SuspectReport `json:"suspects,omitempty"` // end and refusal: suspect requests known to the agent
}

// Load is the load of an endpoint as its agent counts it.
type Load struct {
	Running    int             `json:"running"`
	Queued     int             `json:"queued"`
	Limit      int             `json:"limit"`
	Generation core.Generation `json:"generation"`

	Incarnation core.Incarnation `json:"incarnation,omitempty"` // incarnation of the agent that Mark belongs to
	Mark        Mark             `json:"mark,omitempty"`
}

// ResolveState is the state of an attempt as far as its agent knows it.
type ResolveState string

// The states of an attempt at an agent.
const (
	ResolveFinished         ResolveState = "finished"   // the agent holds the complete answer: attach again to read it
	ResolveRunning          ResolveState = "running"    // attach again to read its answer
	ResolveRefused          ResolveState = "refused"    // refused before it ran
	ResolveNeverSeen        ResolveState = "never"      // never seen; a tombstone now refuses it if it still arrives
	ResolveFailed           ResolveState = "failed"     // it reached the endpoint and has no complete answer
	ResolveForgotten        ResolveState = "forgotten"  // it may have run, but its record has expired
	ResolveOtherIncarnation ResolveState = "other_life" // the agent has restarted since
)

// MethodResolve asks an agent for the state of an attempt.
const MethodResolve = "attempt.resolve"

// Resolve holds the parameters of MethodResolve.
type Resolve struct {
	Attempt     core.AttemptID   `json:"attempt"`
	Incarnation core.Incarnation `json:"incarnation"`
	Mark        Mark             `json:"mark,omitempty"`
}

// ResolveResult is the result of MethodResolve.
type ResolveResult struct {
	State       ResolveState     `json:"state"`
	Incarnation core.Incarnation `json:"incarnation"`
}

// MethodCancel asks an agent to stop an attempt whose caller has disconnected. An attempt that is not idempotent
// continues.
const MethodCancel = "attempt.cancel"

// Cancel holds the parameters of MethodCancel.
type Cancel struct {
	Attempt core.AttemptID `json:"attempt"`
}

// CancelResult is the result of MethodCancel.
type CancelResult struct {
	Stopped bool `json:"stopped"`
}
