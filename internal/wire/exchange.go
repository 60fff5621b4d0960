package wire

import "github.com/lovageglade/lovageglade/internal/core"

// MethodExchange carries an Exchange to a node, which answers with one of its own.
const MethodExchange = "node.exchange"

// Exchange is what two nodes tell each other: the generation that they hold and what changed among the members.
type Exchange struct {
	From       core.HostID     `json:"f"`
	Generation core.Generation `json:"g"`
	Stale      bool            `json:"s,omitempty"` // the sender has not compared its generation since it started or woke
	Table      uint32          `json:"t"`           // hash of the sender's members, to tell whether both hold the same
	Updates    Updates         `json:"u,omitempty"`
	Digest     *Digest         `json:"d,omitempty"` // asks for all that differs
	Missing    []uint32        `json:"m,omitempty"` // answers Digest: name hashes of members that the sender lacks
}

// Digest summarises a node's members for comparison.
type Digest struct {
	Salt    uint64 `json:"salt"`    // of the version hashes, so that two versions which collide do so once
	Members []byte `json:"members"` // six bytes each: name hash and version hash, in order of the name hash
}

// Verdict is what the nodes concluded of a member that was probed.
type Verdict uint8

// The verdicts. At the same sequence a higher one supersedes a lower one; the member itself refutes it by a higher
// sequence.
const (
	Alive Verdict = iota
	Suspect
	Dead
)

// Update says how a member stands. Of the record and of the listing, each is taken by a version of its own.
type Update struct {
	Host        core.HostID      `json:"h"`
	Life        uint64           `json:"l,omitempty"` // 0: nothing is said of the record
	Incarnation core.Incarnation `json:"i,omitempty"` // with At; 0 otherwise
	At          *core.Host       `json:"a,omitempty"` // for receivers that do not know this life
	Sequence    uint64           `json:"s,omitempty"`
	Verdict     Verdict          `json:"d,omitempty"`
	Phase       Phase            `json:"p,omitempty"`
	Generation  core.Generation  `json:"g,omitempty"`
	Versions    []VersionStatus  `json:"v,omitempty"`
	Listed      uint64           `json:"n,omitempty"` // version of the listing; 0: nothing is said of it
	Listing     core.HostState   `json:"t,omitempty"` // "" when the platform lists the host no more
	ListedAt    *core.Host       `json:"b,omitempty"` // for receivers that do not know the host
}

// MethodProbe asks a node to exchange with another one that the caller cannot reach.
const MethodProbe = "node.probe"

// Probe is the request of MethodProbe.
type Probe struct {
	Address string `json:"address"` // control address of the node to reach
}

// Probed is the answer of MethodProbe.
type Probed struct {
	Reached bool `json:"reached"`
}
