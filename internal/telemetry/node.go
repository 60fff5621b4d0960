package telemetry

import (
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
