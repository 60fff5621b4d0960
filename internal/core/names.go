// Package core holds the plain types that every other package shares: the names of hosts, failure domains and
// versions, and the numbers that order them. It imports nothing of the project.
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

// HostID names a host slot. A replaced host keeps its slot's name under a new incarnation.
type HostID string

// Service names a service that callers address.
type Service string

// Workspace names a customer's workspace.
type Workspace string

// Model names a model.
type Model string

// VersionID is the identity of a model version: the SHA-256 digest of its manifest, in lower-case hex.
type VersionID string

// AttemptID names one dispatch of a request to one endpoint. It is never reused.
type AttemptID string

// RequestID names a caller's request over all of its attempts.
type RequestID string

// Incarnation tells one life of a process from the next one at the same address. It is drawn at random at start,
// so it tells lives apart and does not order them.
type Incarnation uint64

// Generation orders accepted configurations. The first accepted configuration has generation 1.
type Generation uint64

// FenceNumber orders the orders that an agent gives to its engine. A higher number supersedes a lower one.
type FenceNumber uint64

const randomIDBytes = 12

// NewID returns a fresh random identifier in lower-case hex.
func NewID() string {
	var raw [randomIDBytes]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails since Go 1.24
	return hex.EncodeToString(raw[:])
}

// NewIncarnation draws the incarnation of a process that starts.
func NewIncarnation() Incarnation {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return Incarnation(binary.LittleEndian.Uint64(raw[:])>>11 | 1)
}
