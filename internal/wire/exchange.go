package wire

import "github.com/lovageglade/lovageglade/internal/core"

// MethodExchange sends an Exchange to a node, which responds with its own.
const MethodExchange = "node.exchange"

// Exchange is a gossip message: the sender's configuration generation and its updates about members.
type Exchange struct {
	From           core.HostID     `json:"f"`
	Generation     core.Generation `json:"g"`
	Stale          bool            `json:"s,omitempty"` // the sender has not checked its generation since it started or resumed
	MembersHash    uint32          `json:"t"`           // hash of the sender's members; equal hashes mean equal members
	Updates        Updates         `json:"u,omitempty"`
	Digest         *Digest         `json:"d,omitempty"` // requests all updates that differ
	MissingMembers []uint32        `json:"m,omitempty"` // response to Digest: name hashes of members unknown to the sender
}

// Digest summarises a node's members so that two nodes can find where they differ.
type Digest struct {
	Salt    uint64 `json:"salt"`    // of the version hashes, so that two colliding versions do not collide in every exchange
	Members []byte `json:"members"` // six bytes per member: name hash and version hash, sorted by name hash
}

// Verdict is the cluster's judgement of a member that was probed.
type Verdict uint8

// The verdicts. At the same sequence number a higher verdict supersedes a lower one. The member refutes a verdict
// by raising its sequence number.
const (
	Alive Verdict = iota
	Suspect
	Dead
)

// Update describes the state of a member. It has two parts, the member's record and its entry in the platform's
// host list, which are versioned and merged independently.
type Update struct {
	Host           core.HostID      `json:"h"`
	StartEpoch     uint64           `json:"l,omitempty"` // orders the incarnations of a host, see Record; 0: the update has no record
	Incarnation    core.Incarnation `json:"i,omitempty"` // set together with HostInfo, 0 otherwise
	HostInfo       *core.Host       `json:"a,omitempty"` // the host, for receivers that do not know this incarnation
	Sequence       uint64           `json:"s,omitempty"`
	Verdict        Verdict          `json:"d,omitempty"`
	Phase          Phase            `json:"p,omitempty"`
	Generation     core.Generation  `json:"g,omitempty"`
	Versions       []VersionStatus  `json:"v,omitempty"`
	ListingVersion uint64           `json:"n,omitempty"` // version of the host list entry; 0: the update has none
	Listing        core.HostState   `json:"t,omitempty"` // "" once the platform no longer lists the host
	ListedHost     *core.Host       `json:"b,omitempty"` // the listed host, for receivers that do not know it
}

// MethodProbe asks a node to run an exchange with a third node that the caller cannot reach.
const MethodProbe = "node.probe"

// Probe holds the parameters of MethodProbe.
type Probe struct {
	Address string `json:"address"` // control address of the node to reach
}

// ProbeResult is the result of MethodProbe.
type ProbeResult struct {
	Reached bool `json:"reached"`
}
