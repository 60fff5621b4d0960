// Package node runs in every process of the system. It keeps the process's configuration up to date and tracks the
// other hosts by gossip. The process's control thread runs a reducer that turns events into effects, and traffic
// goroutines read the views that it publishes.
//
// A node is this package's part of a process, and its peers are the nodes of other processes. The host ID of a process
// identifies its node too, so a node, its process and its host share one ID.
package node

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Events.

// Tick carries the time elapsed since the process started.
type Tick struct {
	reduce.IsEvent
	Now time.Duration
}

// HeadRead carries the configuration head that was read from the platform.
type HeadRead struct {
	reduce.IsEvent
	Head      config.Head
	StartedAt time.Duration // when the read was started
}

// HeadReadFailed reports that a read of the configuration head failed.
type HeadReadFailed struct{ reduce.IsEvent }

// SnapshotFetched carries a fetched and decoded configuration.
type SnapshotFetched struct {
	reduce.IsEvent
	Snapshot *config.Snapshot
}

// SnapshotFetchFailed reports that a configuration could not be fetched.
type SnapshotFetchFailed struct {
	reduce.IsEvent
	Generation core.Generation
}

// HostsListed carries the platform's host list.
type HostsListed struct {
	reduce.IsEvent
	Hosts []core.Host
}

// ExchangeReceived carries an exchange message from another node. The other node waits until this node emits
// AnswerExchange with the same token. The token is local to this node.
type ExchangeReceived struct {
	reduce.IsEvent
	Token   uint64
	Message wire.Exchange
}

// ExchangeAnswered carries a peer's answer to an exchange that this node sent.
type ExchangeAnswered struct {
	reduce.IsEvent
	Sent    SendExchange
	Message wire.Exchange
}

// ExchangeFailed reports that an exchange that this node sent got no answer, even when retried over a new connection.
type ExchangeFailed struct {
	reduce.IsEvent
	Sent SendExchange
}

// ProbeAnswered carries the result of an indirect probe through another node.
type ProbeAnswered struct {
	reduce.IsEvent
	Target   core.HostID
	Answered bool // the proxy answered
	Reached  bool // the proxy reached the target
}

// GenerationSeen reports a generation that was seen in a message on the data path.
type GenerationSeen struct {
	reduce.IsEvent
	Generation core.Generation
	Address    string // control address of the node that holds it
}

// ConnectionFailed reports that a traffic goroutine could not connect to a host.
type ConnectionFailed struct {
	reduce.IsEvent
	Host core.HostID
}

// ModelVersionsChanged carries the state of the model versions on this host.
type ModelVersionsChanged struct {
	reduce.IsEvent
	Versions []wire.VersionStatus
}

// DrainStarted reports that this process has begun to drain before it shuts down.
type DrainStarted struct{ reduce.IsEvent }

// Effects.

// ReadHead reads the configuration head from the platform.
type ReadHead struct {
	reduce.IsEffect
	StartedAt time.Duration
}

// FetchSnapshot fetches the configuration that Head refers to from the node at the address, or from the platform if the
// address is empty.
type FetchSnapshot struct {
	reduce.IsEffect
	Address string
	Head    config.Head
}

// ListHosts reads the platform's host list.
type ListHosts struct{ reduce.IsEffect }

// SendExchange sends a message to a node and waits for its answer.
type SendExchange struct {
	reduce.IsEffect
	Peer    core.HostID // "" for a seed, whose host ID is not known
	Address string
	SentAt  time.Duration
	Message wire.Exchange
}

// AnswerExchange answers the exchange that another node sent.
type AnswerExchange struct {
	reduce.IsEffect
	Token   uint64
	Message wire.Exchange
}

// RequestProbe asks the node Proxy to probe the target.
type RequestProbe struct {
	reduce.IsEffect
	Proxy  core.Host
	Target core.Host
}

// PublishView makes a view available to the traffic goroutines.
type PublishView struct {
	reduce.IsEffect
	View *View
}
