package changeover

import (
	"fmt"
	"testing"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const version core.VersionID = "v2"

// newView returns a view of a service with the given number of endpoints in each failure domain. No endpoint has the
// version yet.
func newView(t *testing.T, perDomain ...int) *node.View {
	t.Helper()
	rule := config.Rule{Service: "models", Version: "two", Replicas: make(map[core.FailureDomain]int)}
	service := config.Service{Name: "models", Kind: config.KindModel}
	view := &node.View{Records: make(map[core.HostID]wire.Record)}
	for d, count := range perDomain {
		domain := core.FailureDomain(fmt.Sprintf("d%d", d))
		rule.Replicas[domain] = count
		for i := range count {
			id := core.HostID(fmt.Sprintf("d%d-h%02d", d, i))
			service.Endpoints = append(service.Endpoints, config.Endpoint{Host: id, FailureDomain: domain})
			view.Records[id] = wire.Record{Phase: wire.PhaseReady}
		}
	}
	raw, digest, err := config.Encode(config.Set{
		Models:   []config.Model{{Name: "m"}},
		Versions: []config.Version{{Name: "two", Model: "m", Manifest: version}},
		Services: []config.Service{service},
		Rules:    []config.Rule{rule},
	})
	if err != nil {
		t.Fatal(err)
	}
	view.Snapshot, err = config.Decode(1, digest, raw)
	if err != nil {
		t.Fatal(err)
	}
	return view
}

func setPhase(view *node.View, id core.HostID, phase wire.VersionPhase) {
	record := view.Records[id]
	record.Versions = []wire.VersionStatus{{Version: version, Phase: phase}}
	view.Records[id] = record
}

// TestMayLoadLimitsConcurrentLoads lets every host load as soon as it is allowed to and checks how many load at once. The
// hosts finish verifying their chunks in different orders.
func TestMayLoadLimitsConcurrentLoads(t *testing.T) {
	for name, c := range map[string]struct {
		perDomain  []int
		maxLoading int // limit of concurrent loads
	}{
		"one domain":       {[]int{16}, 4},
		"two domains":      {[]int{8, 8}, 4},
		"a few everywhere": {[]int{2, 2, 2}, 1},
		"a single host":    {[]int{1}, 1},
		"the target":       {[]int{104, 104, 104, 104, 104}, 130},
	} {
		for _, order := range []string{"forward", "backward", "at once"} {
			maxLoading := simulateRollout(t, newView(t, c.perDomain...), order)
			if maxLoading > c.maxLoading || maxLoading == 0 {
				t.Errorf("%s, %s: %d hosts loaded at once, want 1 to %d", name, order, maxLoading, c.maxLoading)
			}
		}
	}
}

// simulateRollout returns the largest number of hosts that loaded at once. In each round one more host finishes
// verifying its chunks, or all do in the first round if order is "at once". A load takes two rounds.
func simulateRollout(t *testing.T, view *node.View, order string) int {
	t.Helper()
	var hosts []core.HostID
	for _, endpoint := range view.Snapshot.Set.Services[0].Endpoints {
		hosts = append(hosts, endpoint.Host)
	}
	verifyOrder := hosts
	if order == "backward" {
		verifyOrder = nil
		for i := range hosts {
			verifyOrder = append(verifyOrder, hosts[len(hosts)-1-i])
		}
	}
	loadRound := make(map[core.HostID]int)
	maxLoading, serving := 0, 0
	for round := 0; serving < len(hosts); round++ {
		if round > 20*len(hosts) {
			t.Fatalf("%s: only %d of %d hosts are serving after %d rounds", order, serving, len(hosts), round)
		}
		for i, id := range verifyOrder {
			if versionPhase(view, id, version) == "" && (order == "at once" || i <= round) {
				setPhase(view, id, wire.VersionVerified)
			}
		}
		for _, id := range hosts {
			switch phase := versionPhase(view, id, version); {
			case phase == wire.VersionVerified && MayLoad(view, id, version):
				setPhase(view, id, wire.VersionLoading)
				loadRound[id] = round
			case phase == wire.VersionLoading && round-loadRound[id] >= 2:
				setPhase(view, id, wire.VersionServing)
				serving++
			}
		}
		loading := 0
		for _, id := range hosts {
			if versionPhase(view, id, version) == wire.VersionLoading {
				loading++
			}
		}
		maxLoading = max(maxLoading, loading)
	}
	return maxLoading
}

func TestMayLoadIgnoresUnavailableHosts(t *testing.T) {
	for name, change := range map[string]func(*node.View){
		"gone":     func(v *node.View) { delete(v.Records, "d0-h00") },
		"failed":   func(v *node.View) { setPhase(v, "d0-h00", wire.VersionFailed) },
		"fetching": func(v *node.View) { setPhase(v, "d0-h00", wire.VersionFetching) },
		"draining": func(v *node.View) {
			setPhase(v, "d0-h00", wire.VersionLoading)
			record := v.Records["d0-h00"]
			record.Phase = wire.PhaseDraining
			v.Records["d0-h00"] = record
		},
	} {
		view := newView(t, 4)
		setPhase(view, "d0-h01", wire.VersionVerified)
		change(view)
		if !MayLoad(view, "d0-h01", version) {
			t.Errorf("a host that is %s blocks the next host from loading", name)
		}
	}
}
