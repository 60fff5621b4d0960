package wire

import "github.com/lovageglade/lovageglade/internal/core"

// MethodStatus asks a node for its record.
const MethodStatus = "node.status"

// Phase is the lifecycle phase of a process.
type Phase string

// The lifecycle phases.
const (
	PhaseStarting Phase = "starting"
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "draining"
)

// Record is the state that a node publishes about itself. Of two records of a host, the one of the later
// incarnation wins; within an incarnation, the one with the higher sequence number wins.
type Record struct {
	Host        core.Host        `json:"host"`
	Incarnation core.Incarnation `json:"incarnation"`
	StartEpoch  uint64           `json:"life,omitempty"` // orders incarnations: Unix time at start in seconds, or one above the highest earlier value
	Sequence    uint64           `json:"sequence"`
	Phase       Phase            `json:"phase"`
	Generation  core.Generation  `json:"generation"`         // gossiped only together with other changes
	Running     int              `json:"running,omitempty"`  // attempts that run at the back end or wait for it; set only in the result of MethodStatus
	Versions    []VersionStatus  `json:"versions,omitempty"` // set by agents with a model engine
}

// VersionPhase is the phase of a version on a host.
type VersionPhase string

// The phases of a version on a host.
const (
	VersionFetching VersionPhase = "fetching"
	VersionVerified VersionPhase = "verified"
	VersionLoading  VersionPhase = "loading" // the engine serves no requests in this phase
	VersionServing  VersionPhase = "serving"
	VersionFailed   VersionPhase = "failed"
)

// VersionStatus is the status of one version on one host.
type VersionStatus struct {
	Version core.VersionID `json:"version"`
	Phase   VersionPhase   `json:"phase"`
	Have    int            `json:"have"`  // chunks verified
	Total   int            `json:"total"` // chunks in the manifest, 0 while the manifest is unknown
	Reason  string         `json:"reason,omitempty"`
}

// MethodSnapshot asks a node for its current configuration.
const MethodSnapshot = "config.snapshot"

// Snapshot is the result of MethodSnapshot: the published configuration and its generation.
type Snapshot struct {
	Generation core.Generation `json:"generation"`
	Digest     string          `json:"digest"` // SHA-256 of Raw in lower-case hex
	Raw        Compressed      `json:"raw"`
}
