package telemetry

import (
	"expvar"
	"sync/atomic"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// PublishRecord sets the metrics of this node and its versions from the node's own record and the number of nodes it knows.
func PublishRecord(record wire.Record, knownNodes int) {
	SetNodeState(record.Generation, string(record.Phase), knownNodes)
	current := make(map[core.VersionID]bool, len(record.Versions))
	for _, status := range record.Versions {
		current[status.Version] = true
		SetVersionProgress(status.Version, status.Have, status.Total, string(status.Phase))
	}
	RetainVersions(current)
}

// Load is the current load of an agent's back end, as the metrics publish it.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Limit   int `json:"limit"`
}

var loadFunc atomic.Pointer[func() wire.Load]

func init() { // expvar allows a name to be published once per process, and a test may run several agents
	expvar.Publish("lovage_load", expvar.Func(currentLoad))
}

// PublishLoad sets the function that returns the load to publish. It is called each time the metrics are read.
func PublishLoad(load func() wire.Load) { loadFunc.Store(&load) }

// currentLoad returns the load to publish, or zeros if no function was set.
func currentLoad() any {
	readLoad := loadFunc.Load()
	if readLoad == nil {
		return Load{}
	}
	load := (*readLoad)()
	return Load{Running: load.Running, Queued: load.Queued, Limit: load.Limit}
}
