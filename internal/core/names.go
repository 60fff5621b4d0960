// Package core defines the basic types that all other packages share: identifiers of hosts, failure domains and
// versions, and the numbers that order configurations and engine commands. It imports no other package of the
// project.
package core

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
)

// FailureDomain names a failure domain, such as "dobrogea-a".
type FailureDomain string

// Region names a region, which holds one or more failure domains.
type Region string

// HostID names a host slot. When a host is replaced, the new one takes over the name under a new incarnation.
type HostID string

// Service names a service that callers address.
type Service string

// Workspace names a customer's workspace.
type Workspace string

// Model names a model.
type Model string

// VersionID is the identity of a model version: the SHA-256 digest of its manifest, in lower-case hex.
type VersionID string

// AttemptID identifies one dispatch of a request to one endpoint. It is never reused.
type AttemptID string

// RequestID identifies a caller's request across all its attempts.
type RequestID string

// PromptPart identifies a part of a prompt. Requests whose prompts contain the same text share it.
type PromptPart string

// Incarnation identifies one run of a process. It is drawn at random at start, so it distinguishes two runs at the
// same address but does not order them.
type Incarnation uint64

// Generation numbers the accepted configurations, starting at 1.
type Generation uint64

// FenceNumber is the fencing token of a command from an agent to its engine. A higher number supersedes a lower
// one.
type FenceNumber uint64

const randomIDBytes = 12

// NewID returns a random identifier in lower-case hex.
func NewID() string {
	var raw [randomIDBytes]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails since Go 1.24
	return hex.EncodeToString(raw[:])
}

// NewIncarnation returns a random, non-zero incarnation.
func NewIncarnation() Incarnation {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return Incarnation(binary.LittleEndian.Uint64(raw[:])>>11 | 1)
}
