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
	Head config.Head
}

// SnapshotFetched brings a decoded configuration.
type SnapshotFetched struct {
	reduce.IsEvent
	Snapshot *config.Snapshot
}

// HostsListed brings the platform's host list.
type HostsListed struct {
	reduce.IsEvent
	Hosts []core.Host
}

// StatusRead brings another node's record.
type StatusRead struct {
	reduce.IsEvent
	Record wire.Record
}

// StatusFailed says that a node gave no record.
type StatusFailed struct {
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
type ReadHead struct{ reduce.IsEffect }

// FetchSnapshot asks for the snapshot that the head names.
type FetchSnapshot struct {
	reduce.IsEffect
	Head config.Head
}

// ListHosts asks for the platform's host list.
type ListHosts struct{ reduce.IsEffect }

// ReadStatus asks a node for its record.
type ReadStatus struct {
	reduce.IsEffect
	Host core.Host
}

// PublishView puts a view before the traffic goroutines.
type PublishView struct {
	reduce.IsEffect
	View *View
}
