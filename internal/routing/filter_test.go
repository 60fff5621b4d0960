package routing

import (
	"testing"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/wire"
)

func TestBuildExcludesEndpointsThatAcceptNoNewWork(t *testing.T) {
	for name, change := range map[string]func(*node.View){
		"missing from the records": func(v *node.View) { delete(v.Records, "h0") },
		"draining":                 func(v *node.View) { updateRecord(v, "h0", func(r *wire.Record) { r.Phase = wire.PhaseDraining }) },
		"starting":                 func(v *node.View) { updateRecord(v, "h0", func(r *wire.Record) { r.Phase = wire.PhaseStarting }) },
		"on a leaving host":        func(v *node.View) { v.Hosts["h0"] = core.Host{State: core.HostLeaving} },
		"fetching its version": func(v *node.View) {
			updateRecord(v, "h0", func(r *wire.Record) { r.Versions[0].Phase = wire.VersionFetching })
		},
		"of another model":                func(v *node.View) { updateRecord(v, "h0", func(r *wire.Record) { r.Versions[0].Version = otherModel }) },
		"without any version":             func(v *node.View) { updateRecord(v, "h0", func(r *wire.Record) { r.Versions = nil }) },
		"in a failure domain that is out": func(v *node.View) { v.Snapshot = encodeAndDecode(t, withDomainsOut(v.Snapshot.Set, true)) },
		"in an unknown failure domain":    func(v *node.View) { v.Snapshot = encodeAndDecode(t, withDomainsOut(v.Snapshot.Set, false)) },
	} {
		view := newView(t, 1, nil)
		change(view)
		if chosen := BuildIndex(view, entryLocality, NewLoadMeters()).Service("models").Pick(Query{}); chosen != nil {
			t.Errorf("endpoint was picked although it is %s", name)
		}
	}
}

// withDomainsOut marks all failure domains as out if named is true, else it removes them from the configuration.
func withDomainsOut(set config.Set, named bool) config.Set {
	domains := set.FailureDomains
	set.FailureDomains = nil
	for _, domain := range domains {
		domain.Out = true
		if named {
			set.FailureDomains = append(set.FailureDomains, domain)
		}
	}
	return set
}

func TestPickFallsBackToAnAcceptedOlderVersion(t *testing.T) {
	view := newView(t, 6, nil) // h0 and h5 are local
	updateRecord(view, "h0", func(r *wire.Record) { r.Versions[0].Version = olderVersion })
	service := BuildIndex(view, entryLocality, NewLoadMeters()).Service("models")
	if chosen := service.Pick(Query{}); chosen.Host.ID != "h5" {
		t.Errorf("picked %s, want h5, which serves the desired version", chosen.Host.ID)
	}
	chosen := service.Pick(Query{Exclude: map[core.HostID]bool{"h5": true}})
	if chosen.Host.ID != "h0" || chosen.Version != olderVersion {
		t.Errorf("picked %s with version %s, want h0 with the older version", chosen.Host.ID, chosen.Version)
	}
}
