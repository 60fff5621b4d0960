package wire

import "github.com/lovageglade/lovageglade/internal/core"

// PathChunks is the HTTP path of verified chunks on an agent's data address; the chunk's digest follows it.
const PathChunks = "/v1/chunks/"

// The HTTP statuses of a chunk that is not sent.
const (
	StatusChunkSpent    = 403 // the host has uploaded as much of the version as it may
	StatusChunkMissing  = 404 // the host does not hold the chunk
	StatusChunkDropped  = 409 // the host no longer wants a version that has the chunk
	StatusChunkGivenOut = 410 // the host has uploaded the chunk as often as it may
	StatusChunkBusy     = 429 // too many uploads are under way
)

// MethodMap tells an agent which chunks of a version the caller holds, and asks for its own.
const MethodMap = "weights.map"

// Map is the request and the answer of MethodMap. The answer of a host that does not want the version has no chunks.
type Map struct {
	Host    core.HostID    `json:"host"`
	Version core.VersionID `json:"version"`
	Have    []byte         `json:"have,omitempty"` // bitmap of chunk indices, little-endian
}

// MethodVersions asks an agent how far it has come with its versions.
const MethodVersions = "weights.versions"

// VersionProgress is the answer of MethodVersions for one version.
type VersionProgress struct {
	VersionStatus
	RemainingS float64 `json:"remaining_s,omitempty"` // estimated seconds until every chunk is verified
}
