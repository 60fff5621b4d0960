package placement

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

func newEndpoint(id string, region core.Region, version int64) *catalog.Endpoint {
	endpoint := &catalog.Endpoint{ID: catalog.EndpointID(id), Region: region, Slots: 4}
	if version > 0 {
		endpoint.Loaded = []catalog.Loaded{{Model: "m", Version: version}}
	}
	return endpoint
}

func pickID(p *Placer, endpoints []*catalog.Endpoint, query Query) string {
	if chosen := p.Pick(endpoints, query); chosen != nil {
		return string(chosen.ID)
	}
	return ""
}

func joinIDs(endpoints []*catalog.Endpoint) string {
	var text string
	for _, endpoint := range endpoints {
		text += string(endpoint.ID)
	}
	return text
}

func TestFilter(t *testing.T) {
	endpoints := []*catalog.Endpoint{newEndpoint("a", "east", 1), newEndpoint("b", "east", 2), newEndpoint("c", "west", 3), newEndpoint("d", "east", 0)}
	west := catalog.RegionsOf(&catalog.Route{Regions: []core.Region{"west"}}, nil)
	for _, test := range []struct {
		name        string
		query       Query
		eligible    string
		unconfirmed string
	}{
		{"plain service", Query{}, "abcd", ""},
		{"model", Query{Model: "m"}, "abc", "d"},
		{"another model", Query{Model: "n"}, "", "abcd"},
		{"required version", Query{Model: "m", Version: 2}, "bc", "ad"},
		{"region", Query{Regions: west}, "c", ""},
		{"excluded", Query{Exclude: map[catalog.EndpointID]bool{"a": true, "c": true}}, "bd", ""},
	} {
		eligible, unconfirmed := filter(endpoints, test.query)
		if joinIDs(eligible) != test.eligible || joinIDs(unconfirmed) != test.unconfirmed {
			t.Errorf("%s: %q and %q, want %q and %q", test.name, joinIDs(eligible), joinIDs(unconfirmed), test.eligible, test.unconfirmed)
		}
	}
}

func TestPickPrefersLeastLoadedThenSameRegion(t *testing.T) {
	p := NewPlacer()
	endpoints := []*catalog.Endpoint{newEndpoint("near", "east", 0), newEndpoint("far", "west", 0)}
	query := Query{Home: "east"}
	if got := pickID(p, endpoints, query); got != "near" {
		t.Errorf("%s is chosen among equals", got)
	}
	p.Load("near").Add(1)
	if got := pickID(p, endpoints, query); got != "far" {
		t.Errorf("%s is chosen although it has a request more of four slots", got)
	}
	p.Load("near").Add(-1)
	p.Load("near").Report(wire.Load{Running: 3, Limit: 4}, 0)
	if got := pickID(p, endpoints, query); got != "far" {
		t.Errorf("%s is chosen although others load it", got)
	}
}

// TestGatewaysWithEqualStateChooseDifferentEndpoints holds the load of many gateways that see equal endpoints at the same moment.
func TestGatewaysWithEqualStateChooseDifferentEndpoints(t *testing.T) {
	endpoints := []*catalog.Endpoint{newEndpoint("a", "east", 0), newEndpoint("b", "east", 0), newEndpoint("c", "east", 0)}
	chosen := make(map[string]bool)
	for start := range endpoints {
		p := NewPlacer()
		p.randIntN = func(int) int { return start }
		chosen[pickID(p, endpoints, Query{Home: "east"})] = true
	}
	if len(chosen) != len(endpoints) {
		t.Errorf("only %v are chosen", chosen)
	}
}

func TestFailingEndpointsAreAvoidedWhileOthersRemain(t *testing.T) {
	p := NewPlacer()
	endpoints := []*catalog.Endpoint{newEndpoint("a", "east", 0), newEndpoint("b", "west", 0)}
	query := Query{Home: "east", Now: time.Second}
	p.Failed("a", time.Second)
	if got := pickID(p, endpoints, query); got != "b" {
		t.Errorf("%s is chosen right after it failed", got)
	}
	p.Failed("b", time.Second)
	if got := pickID(p, endpoints, query); got == "" {
		t.Error("none is chosen while all failed")
	}
	query.Now = time.Second + initialAvoidance
	if got := pickID(p, endpoints, query); got != "a" {
		t.Errorf("%s is chosen after the avoidance", got)
	}
}

func TestAvoidanceGrowsAndIsBounded(t *testing.T) {
	h := newHealth()
	now := time.Duration(0)
	for range 20 {
		h.recordFailure("a", now)
		h.recordFailure("a", now) // under way together
		now = h.records["a"].avoidedUntil
	}
	h.recordFailure("a", now)
	if duration := h.records["a"].avoidedUntil - now; duration != maxAvoidance {
		t.Errorf("the endpoint is avoided for %v", duration)
	}
	h.recordSuccess("a")
	if h.isAvoided("a", now) {
		t.Error("an endpoint that answered is avoided")
	}
	h.recordFailure("b", now)
	h.recordFailure("c", now+2*recordRetention)
	if h.records["b"] != nil {
		t.Error("a failure of long ago is remembered")
	}
}

// An engine that has just loaded the version serves it before its entry says so.
func TestEndpointNotRegisteredWithTheVersionIsChosenLast(t *testing.T) {
	p := NewPlacer()
	endpoints := []*catalog.Endpoint{newEndpoint("old", "east", 1), newEndpoint("new", "east", 2)}
	query := Query{Home: "east", Model: "m", Version: 2, Exclude: map[catalog.EndpointID]bool{}}
	p.Load("new").Add(4)
	if got := pickID(p, endpoints, query); got != "new" {
		t.Errorf("%q is chosen before the one that shows the version", got)
	}
	query.Exclude["new"] = true
	if got := pickID(p, endpoints, query); got != "old" {
		t.Errorf("%q is chosen when no entry shows the version", got)
	}
}
