package plan

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// Peer is a host that takes part in the distribution.
type Peer struct {
	Host          core.HostID
	FailureDomain core.FailureDomain
	Region        core.Region
}

// Version is a version that this host has to hold.
type Version struct {
	ID          core.VersionID // the same at all hosts that have to hold the version, whatever their manifests
	Manifest    weights.Manifest
	Have        Bitmap // chunks that are already verified; nil if none
	RegionHosts int    // number of hosts in this region that have to hold it, including this one; 0 if unknown
	// OriginInterval is the interval at which successive chunks may be fetched from the origin, usually the time that one chunk
	// takes on the origin's link. It makes the first chunks complete early instead of all chunks at the end. 0 disables
	// it.
	OriginInterval time.Duration
}

// Timestamp is the time of an event, measured from the start of the process.
type Timestamp struct {
	reduce.IsEvent
	Now time.Duration
}

func (t Timestamp) at() time.Duration { return t.Now }

// Tick advances the time.
type Tick struct{ Timestamp }

// PeersChanged replaces the hosts that are considered live.
type PeersChanged struct {
	Timestamp
	Peers []Peer
}

// VersionsChanged replaces the versions that this host has to hold, in order of priority. A version that comes with another
// manifest than before keeps what is known of its chunks by their indices.
type VersionsChanged struct {
	Timestamp
	Versions []Version
}

// ChunkMapReceived reports the chunks that a peer has announced. IsReply is true for the response to an
// ExchangeChunkMap of this host and false for a chunk map that the peer sent on its own.
type ChunkMapReceived struct {
	Timestamp
	IsReply bool
	Host    core.HostID
	Version core.VersionID
	Have    Bitmap
}

// ChunkMapFailed reports that a peer did not respond to an ExchangeChunkMap.
type ChunkMapFailed struct {
	Timestamp
	Host core.HostID
}

// FetchID identifies a fetch within this process.
type FetchID uint64

// UploadID identifies an upload within this process.
type UploadID uint64

// Result is the outcome of a fetch, or the decision on a peer's request for a chunk.
type Result int

// The results of fetches and upload requests.
const (
	Verified            Result = iota // the chunk was verified and stored
	Granted                           // the upload may start
	Busy                              // too many concurrent uploads; also a chunk that could not be stored
	VersionLimitReached               // the source has reached its upload limit for the version
	ChunkLimitReached                 // the source has reached its upload limit for the chunk
	Missing                           // the source does not have the chunk
	NotWanted                         // the source no longer wants any version with the chunk
	OtherDigest                       // the source wants the version, but its manifest does not list the chunk
	Corrupt                           // the bytes do not match the digest
	Stalled                           // the fetch was cancelled, cut short or timed out
	Unreachable                       // the source did not respond, or responded with an unknown status
)

// FetchEnded reports the outcome of a fetch.
type FetchEnded struct {
	Timestamp
	FetchID FetchID
	Result  Result
}

// UploadRequested reports that a peer has requested a chunk.
type UploadRequested struct {
	Timestamp
	UploadID  UploadID
	Digest    weights.Digest
	Version   core.VersionID // that the peer fetches the chunk for; "" if it did not tell
	ForRegion bool           // the peer fetches the chunk on behalf of another region
}

// UploadEnded reports that an upload has ended or that its request was abandoned.
type UploadEnded struct {
	Timestamp
	UploadID UploadID
}

// FetchChunk starts the fetch of a chunk. An empty Source means the origin. BytesPerS limits the rate of the fetch; 0
// means unlimited.
type FetchChunk struct {
	reduce.IsEffect
	FetchID   FetchID
	Source    core.HostID
	Version   core.VersionID
	Index     int
	BytesPerS int64
	ForRegion bool // the source is in another region, and this host passes the chunk on to its own region
}

// CancelFetch cancels a fetch. No FetchEnded is required for it.
type CancelFetch struct {
	reduce.IsEffect
	FetchID FetchID
}

// ExchangeChunkMap sends this host's chunk map of the version to a peer and requests the peer's chunk map.
type ExchangeChunkMap struct {
	reduce.IsEffect
	Host    core.HostID
	Version core.VersionID
	Have    Bitmap
}

// AnswerUpload is the decision on an UploadRequested.
type AnswerUpload struct {
	reduce.IsEffect
	UploadID UploadID
	Result   Result
}

// Progress reports how many chunks of a version this host has. Remaining is the estimated time to completion, 0 if it is
// unknown.
type Progress struct {
	reduce.IsEffect
	Version   core.VersionID
	Have      int
	Total     int
	Remaining time.Duration
	// ManifestSuspect reports that since the last new chunk some did not match their digests, or that peers want none with such
	// a digest. The manifest may have been corrupted on its way.
	ManifestSuspect bool
	// ManifestRefuted reports that the manifest is contradicted: the origin twice sent other bytes than it states for a chunk, or
	// a peer's manifest of the version does not list a chunk of it.
	ManifestRefuted bool
}
