package routing

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	desiredVersion core.VersionID = "v2"
	olderVersion   core.VersionID = "v1"
	otherModel     core.VersionID = "x1"
	coldLimit                     = 4
)

var entryLocality = Locality{FailureDomain: "d0", Region: "r0"}

// domainName and regionName place five failure domains in two regions.
func domainName(i int) core.FailureDomain { return core.FailureDomain(fmt.Sprintf("d%d", i)) }
func regionName(i int) core.Region        { return core.Region(fmt.Sprintf("r%d", i/3)) }

// newView returns a view of n endpoints spread over five failure domains. All of them are ready and serve the desired
// version. If change is not nil, it edits the configuration first.
func newView(t testing.TB, n int, change func(*config.Set)) *node.View {
	t.Helper()
	set := config.Set{
		Models:   []config.Model{{Name: "m"}, {Name: "x"}},
		Versions: []config.Version{{Name: "one", Model: "m", Manifest: olderVersion}, {Name: "two", Model: "m", Manifest: desiredVersion}, {Name: "x", Model: "x", Manifest: otherModel}},
		Services: []config.Service{{Name: "models", Kind: config.KindModel, Limits: config.Limits{Cold: coldLimit, Max: 32}}},
		Rules:    []config.Rule{{Name: "rule", Service: "models", Version: "two"}},
	}
	for i := range 5 {
		set.FailureDomains = append(set.FailureDomains, config.FailureDomain{Name: domainName(i), Region: regionName(i)})
	}
	view := &node.View{Records: make(map[core.HostID]wire.Record), Hosts: make(map[core.HostID]core.Host)}
	for i := range n {
		host := core.Host{ID: core.HostID(fmt.Sprintf("h%d", i)), FailureDomain: domainName(i % 5), Region: regionName(i % 5), State: core.HostLive}
		set.Services[0].Endpoints = append(set.Services[0].Endpoints, config.Endpoint{Host: host.ID, FailureDomain: host.FailureDomain})
		view.Hosts[host.ID] = host
		view.Records[host.ID] = wire.Record{
			Host: host, Incarnation: core.Incarnation(i + 1), Phase: wire.PhaseReady,
			Versions: []wire.VersionStatus{{Version: desiredVersion, Phase: wire.VersionServing}},
		}
	}
	if change != nil {
		change(&set)
	}
	view.Snapshot = encodeAndDecode(t, set)
	return view
}

func encodeAndDecode(t testing.TB, set config.Set) *config.Snapshot {
	t.Helper()
	raw, digest, err := config.Encode(set)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := config.Decode(1, digest, raw)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// updateRecord changes the record of one host, on a deep copy.
func updateRecord(view *node.View, id core.HostID, change func(*wire.Record)) {
	record := view.Records[id]
	raw, _ := json.Marshal(record)
	_ = json.Unmarshal(raw, &record)
	change(&record)
	view.Records[id] = record
}
