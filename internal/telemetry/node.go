package telemetry

import (
	"expvar"
	"sync/atomic"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// ShowRecord shows in the metrics what a node says of itself and how many others it hears of.
func ShowRecord(record wire.Record, knownNodes int) {
	SetNodeState(record.Generation, string(record.Phase), knownNodes)
	held := make(map[core.VersionID]bool, len(record.Versions))
	for _, status := range record.Versions {
		held[status.Version] = true
		SetVersionProgress(status.Version, status.Have, status.Total, string(status.Phase))
	}
	RetainVersions(held)
}

// Load is what an agent's back end bears at the moment.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Limit   int `json:"limit"`
}

var loadFunc atomic.Pointer[func() wire.Load]

func init() { // the name may be published once a process, whatever number of agents a test runs
	expvar.Publish("lovage_load", expvar.Func(currentLoad))
}

// ShowLoad shows in the metrics the load that the function returns.
func ShowLoad(load func() wire.Load) { loadFunc.Store(&load) }

func currentLoad() any {
	readLoad := loadFunc.Load()
	if readLoad == nil {
		return Load{}
	}
	load := (*readLoad)()
	return Load{Running: load.Running, Queued: load.Queued, Limit: load.Limit}
}
