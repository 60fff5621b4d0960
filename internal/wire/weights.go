package wire

import "github.com/lovageglade/lovageglade/internal/core"

// PathChunks is the HTTP path prefix of verified chunks on an agent's data address; the chunk's digest follows it.
const PathChunks = "/v1/chunks/"

// The HTTP statuses with which an agent declines to send a chunk.
const (
	StatusChunkVersionLimit = 403 // the upload limit for the whole version is reached
	StatusChunkMissing      = 404 // the host does not have the chunk
	StatusChunkNotWanted    = 409 // no version that the host still wants contains the chunk
	StatusChunkOtherDigest  = 412 // the host wants the version, but its manifest does not list the chunk
	StatusChunkUploadLimit  = 410 // the upload limit for this chunk is reached
	StatusChunkBusy         = 429 // too many concurrent uploads
)

// MethodChunkMap tells an agent which chunks of a version the caller holds and asks for the agent's own.
const MethodChunkMap = "weights.map"

// ChunkMap lists the chunks of a version that a host holds. It is both the parameters and the result of
// MethodChunkMap. The result has no chunks if the host does not want the version.
type ChunkMap struct {
	Host    core.HostID    `json:"host"`
	Version core.VersionID `json:"version"`
	Have    []byte         `json:"have,omitempty"` // bitmap of chunk indices, little-endian
}

// MethodVersions asks an agent for the progress of its versions.
const MethodVersions = "weights.versions"

// VersionProgress is the progress of one version in the result of MethodVersions.
type VersionProgress struct {
	VersionStatus
	RemainingS float64 `json:"remaining_s,omitempty"` // estimated seconds until every chunk is verified
}
