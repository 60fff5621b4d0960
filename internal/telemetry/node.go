package telemetry

import (
	"expvar"
	"sync/atomic"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// ShowRecord shows in the metrics what a node says of itself and how many others it hears of.
func ShowRecord(record wire.Record, known int) {
	SetNode(record.Generation, string(record.Phase), known)
	keep := make(map[core.VersionID]bool, len(record.Versions))
	for _, status := range record.Versions {
		keep[status.Version] = true
		SetVersion(status.Version, status.Have, status.Total, string(status.Phase))
	}
	KeepVersions(keep)
}

// Load is what an agent's back end bears at the moment.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Limit   int `json:"limit"`
}

var readLoad atomic.Pointer[func() wire.Load]

func init() { // the name may be published once a process, whatever number of agents a test runs
	expvar.Publish("lovage_load", expvar.Func(currentLoad))
}

// ShowLoad shows in the metrics the load that the function returns.
func ShowLoad(load func() wire.Load) { readLoad.Store(&load) }

func currentLoad() any {
	read := readLoad.Load()
	if read == nil {
		return Load{}
	}
	load := (*read)()
	return Load{Running: load.Running, Queued: load.Queued, Limit: load.Limit}
}
