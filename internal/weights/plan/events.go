package plan

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/weights"
)

// Peer is another host with an agent.
type Peer struct {
	Host          core.HostID
	FailureDomain core.FailureDomain
	Region        core.Region
}

// Version is a version that this host has to hold.
type Version struct {
	ID       core.VersionID
	Manifest weights.Manifest
	Have     Bitmap // chunks that are verified already
	Hosts    int    // of this region that have to hold it, with this one; 0 when unknown
	// OriginGap is between the turns of two chunks at the origin, so that the first ones are there early instead of all
	// at the end; 0 for no turns. It is the time that a chunk takes on the origin's link.
	OriginGap time.Duration
}

// Stamp is the time of an event, counted from the start of the process.
type Timestamp struct {
	reduce.IsEvent
	Now time.Duration
}

func (s Timestamp) at() time.Duration { return s.Now }

// Tick says what time it is.
type Tick struct{ Timestamp }

// RosterChanged brings the other hosts that are believed live.
type PeersChanged struct {
	Timestamp
	Peers []Peer
}

// VersionsWanted replaces the versions that this host has to hold, in order of priority.
type VersionsChanged struct {
	Timestamp
	Versions []Version
}

// MapReceived brings the chunks that a peer says it holds. Asked tells an answer to this host's SendMap from a map
// that the peer sent by its own choice.
type MapReceived struct {
	Timestamp
	IsReply bool
	Host    core.HostID
	Version core.VersionID
	Have    Bitmap
}

// MapFailed says that a peer did not answer with its map.
type MapFailed struct {
	Timestamp
	Host core.HostID
}

// FetchID names one fetch of this process.
type FetchID uint64

// UploadID names one upload of this process.
type UploadID uint64

// Result says how a fetch ended, or what becomes of a peer's request for a chunk.
type Result int

// The results of fetches and uploads.
const (
	Verified            Result = iota // the chunk is verified and kept
	Granted                           // the upload may start
	Busy                              // too many uploads are under way
	VersionLimitReached               // the uploads of the version have reached their bound
	ChunkLimitReached                 // the chunk has been uploaded to as many hosts as may have it from here
	Missing                           // the chunk is not held
	NotWanted                         // the host no longer wants any version that has the chunk
	Corrupt                           // the bytes are not the chunk
	Stalled                           // no byte arrived for too long
	Unreachable                       // the source gave no answer
)

// FetchEnded says how a fetch ended.
type FetchEnded struct {
	Timestamp
	Fetch  FetchID
	Result Result
}

// UploadAsked says that a peer asks for a chunk.
type UploadRequested struct {
	Timestamp
	Upload UploadID
	Digest weights.Digest
}

// UploadEnded says that an upload that was granted has ended.
type UploadEnded struct {
	Timestamp
	Upload UploadID
}

// FetchChunk asks for a chunk. An empty Source stands for the origin. A Rate above 0 bounds the fetch, in bytes a
// second.
type FetchChunk struct {
	reduce.IsEffect
	Fetch     FetchID
	Source    core.HostID
	Version   core.VersionID
	Index     int
	BytesPerS int64
}

// CancelFetch gives up a fetch. No FetchEnded is needed for it.
type CancelFetch struct {
	reduce.IsEffect
	Fetch FetchID
}

// SendMap asks a peer for its map of the version and tells it this host's.
type ExchangeMap struct {
	reduce.IsEffect
	Host    core.HostID
	Version core.VersionID
	Have    Bitmap
}

// AnswerUpload answers UploadAsked.
type AnswerUpload struct {
	reduce.IsEffect
	Upload UploadID
	Result Result
}

// Progress says how far this host has come with a version. Remaining is an estimate, 0 when none can be given.
type Progress struct {
	reduce.IsEffect
	Version   core.VersionID
	Have      int
	Total     int
	Remaining time.Duration
}
