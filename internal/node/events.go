// Package node decides, for every process of the system, which configuration it holds and which hosts it knows. Its
// reducer is stepped by the process's control thread; traffic reads the views that it publishes.
package node

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Tick says what time it is, as time since the process started.
type Tick struct {
	reduce.IsEvent
	Now time.Duration
}

// HeadRead brings the head of the configuration as the platform has it.
type HeadRead struct {
	reduce.IsEvent
	Head  config.Head
	Asked time.Duration // when the read began
}

// HeadFailed says that the platform gave no head.
type HeadFailed struct{ reduce.IsEvent }

// SnapshotFetched brings a decoded configuration.
type SnapshotFetched struct {
	reduce.IsEvent
	Snapshot *config.Snapshot
}

// FetchFailed says that the source of a configuration did not give it.
type FetchFailed struct {
	reduce.IsEvent
	Generation core.Generation
}

// HostsListed brings the platform's host list.
type HostsListed struct {
	reduce.IsEvent
	Hosts []core.Host
}

// ExchangeAsked brings another node's exchange, which waits for an answer under the token.
type ExchangeAsked struct {
	reduce.IsEvent
	Token   uint64
	Message wire.Exchange
}

// ExchangeAnswered brings the answer to an own exchange.
type ExchangeAnswered struct {
	reduce.IsEvent
	Sent    Exchange
	Message wire.Exchange
}

// ExchangeFailed says that an own exchange got no answer, over a fresh connection either.
type ExchangeFailed struct {
	reduce.IsEvent
	Sent Exchange
}

// ProbeAnswered says what became of a probe through another node.
type ProbeAnswered struct {
	reduce.IsEvent
	Target   core.HostID
	Answered bool // the node that was asked gave its word
	Reached  bool // the target answered it
}

// GenerationHeard says that a message between traffic goroutines carried a generation.
type GenerationHeard struct {
	reduce.IsEvent
	Generation core.Generation
	Address    string // control address of the node that holds it
}

// ContactFailed says that a traffic goroutine could not connect to a host.
type ContactFailed struct {
	reduce.IsEvent
	Host core.HostID
}

// VersionsChanged brings the state of the versions on this host.
type VersionsChanged struct {
	reduce.IsEvent
	Versions []wire.VersionStatus
}

// DrainStarted says that this process is shutting down.
type DrainStarted struct{ reduce.IsEvent }

// ReadHead asks for the head of the configuration from the platform.
type ReadHead struct {
	reduce.IsEffect
	Asked time.Duration
}

// FetchSnapshot asks for the configuration of a generation: from the node at the address, or from the platform by the
// head when the address is empty.
type FetchSnapshot struct {
	reduce.IsEffect
	Address string
	Head    config.Head
}

// ListHosts asks for the platform's host list.
type ListHosts struct{ reduce.IsEffect }

// Exchange sends a message to a node and asks for its answer.
type Exchange struct {
	reduce.IsEffect
	Peer    core.HostID // "" for a seed, of which only the address is known
	Address string
	Asked   time.Duration
	Message wire.Exchange
}

// AnswerExchange answers another node's exchange.
type AnswerExchange struct {
	reduce.IsEffect
	Token   uint64
	Message wire.Exchange
}

// AskProbe asks a node to reach the target.
type AskProbe struct {
	reduce.IsEffect
	Via    core.Host
	Target core.Host
}

// PublishView puts a view before the traffic goroutines.
type PublishView struct {
	reduce.IsEffect
	View *View
}
