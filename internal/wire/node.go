package wire

import "github.com/lovageglade/lovageglade/internal/core"

// MethodStatus asks a node for its record.
const MethodStatus = "node.status"

// Phase is a process's phase of life.
type Phase string

// The phases of life.
const (
	PhaseStarting Phase = "starting"
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "draining"
)

// Record is what a node says of itself. A higher Life of the same host supersedes a lower one, and within a life a
// higher Sequence a lower one.
type Record struct {
	Host        core.Host        `json:"host"`
	Incarnation core.Incarnation `json:"incarnation"`
	Life        uint64           `json:"life,omitempty"` // seconds of the host's clock at start, or one above an earlier life that it heard of
	Sequence    uint64           `json:"sequence"`
	Phase       Phase            `json:"phase"`
	Generation  core.Generation  `json:"generation"`         // spread among nodes only along with other changes
	Running     int              `json:"running,omitempty"`  // attempts at the back end; only in the answer of MethodStatus
	Versions    []VersionStatus  `json:"versions,omitempty"` // of an agent with a model engine
}

// VersionPhase is how far a host has come with a version.
type VersionPhase string

// The phases of a version on a host.
const (
	VersionFetching VersionPhase = "fetching"
	VersionVerified VersionPhase = "verified"
	VersionLoading  VersionPhase = "loading" // its engine serves nothing meanwhile
	VersionServing  VersionPhase = "serving"
	VersionFailed   VersionPhase = "failed"
)

// VersionStatus is the state of one version on one host.
type VersionStatus struct {
	Version core.VersionID `json:"version"`
	Phase   VersionPhase   `json:"phase"`
	Have    int            `json:"have"`  // chunks verified
	Total   int            `json:"total"` // chunks in the manifest, 0 while it is unknown
	Reason  string         `json:"reason,omitempty"`
}

// MethodSnapshot asks a node for the configuration that it holds.
const MethodSnapshot = "config.snapshot"

// Snapshot is the answer of MethodSnapshot: the published bytes and their generation.
type Snapshot struct {
	Generation core.Generation `json:"generation"`
	Digest     string          `json:"digest"` // SHA-256 of Raw in lower-case hex
	Raw        Packed          `json:"raw"`
}
