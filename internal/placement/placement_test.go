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
		endpoint.Loaded = []catalog.LoadedVersion{{Model: "m", Version: version}}
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
	west := catalog.AllowedRegions(&catalog.Route{Regions: []core.Region{"west"}}, nil)
	for _, test := range []struct {
		name        string
		query       Query
		eligible    string
		unconfirmed string
	}{
		{"plain service", Query{}, "abcd", ""},
		{"model", Query{Model: "m"}, "abc", "d"},
		{"another model", Query{Model: "n"}, "", "abcd"},
		{"required version", Query{Model: "m", MinVersion: 2}, "bc", "ad"},
		{"region", Query{Regions: west}, "c", ""},
		{"excluded", Query{Exclude: map[catalog.EndpointID]bool{"a": true, "c": true}}, "bd", ""},
	} {
		eligible, unconfirmed := filter(endpoints, test.query)
		if joinIDs(eligible) != test.eligible || joinIDs(unconfirmed) != test.unconfirmed {
			t.Errorf("%s: eligible %q and unconfirmed %q, want %q and %q", test.name, joinIDs(eligible), joinIDs(unconfirmed), test.eligible, test.unconfirmed)
		}
	}
}

func TestPickPrefersLeastLoadedThenSameRegion(t *testing.T) {
	p := NewPlacer()
	endpoints := []*catalog.Endpoint{newEndpoint("near", "east", 0), newEndpoint("far", "west", 0)}
	query := Query{LocalRegion: "east"}
	if got := pickID(p, endpoints, query); got != "near" {
		t.Errorf("chose %s of equally loaded endpoints, want near", got)
	}
	p.Meter("near").AddInFlight(1)
	if got := pickID(p, endpoints, query); got != "far" {
		t.Errorf("chose %s although near has one request more on four slots, want far", got)
	}
	p.Meter("near").AddInFlight(-1)
	p.Meter("near").RecordReport(wire.Load{Running: 3, Limit: 4}, 0)
	if got := pickID(p, endpoints, query); got != "far" {
		t.Errorf("chose %s although near reports load from other gateways, want far", got)
	}
}

// Guards against overload of one endpoint by many gateways that see equally loaded endpoints at the same moment.
func TestGatewaysWithEqualStateChooseDifferentEndpoints(t *testing.T) {
	endpoints := []*catalog.Endpoint{newEndpoint("a", "east", 0), newEndpoint("b", "east", 0), newEndpoint("c", "east", 0)}
	chosen := make(map[string]bool)
	for start := range endpoints {
		p := NewPlacer()
		p.randIntN = func(int) int { return start }
		chosen[pickID(p, endpoints, Query{LocalRegion: "east"})] = true
	}
	if len(chosen) != len(endpoints) {
		t.Errorf("gateways chose only %v", chosen)
	}
}

func TestFailingEndpointsAreAvoidedWhileOthersRemain(t *testing.T) {
	p := NewPlacer()
	endpoints := []*catalog.Endpoint{newEndpoint("a", "east", 0), newEndpoint("b", "west", 0)}
	query := Query{LocalRegion: "east", Now: time.Second}
	p.RecordFailure("a", time.Second)
	if got := pickID(p, endpoints, query); got != "b" {
		t.Errorf("chose %s right after a failed, want b", got)
	}
	p.RecordFailure("b", time.Second)
	if got := pickID(p, endpoints, query); got == "" {
		t.Error("chose no endpoint while all are avoided")
	}
	query.Now = time.Second + initialAvoidance
	if got := pickID(p, endpoints, query); got != "a" {
		t.Errorf("chose %s after the avoidance of a ended, want a", got)
	}
}

func TestAvoidanceGrowsAndIsBounded(t *testing.T) {
	h := newHealth()
	now := time.Duration(0)
	for range 20 {
		h.recordFailure("a", now)
		h.recordFailure("a", now) // a concurrent failure
		now = h.records["a"].avoidedUntil
	}
	h.recordFailure("a", now)
	if duration := h.records["a"].avoidedUntil - now; duration != maxAvoidance {
		t.Errorf("the endpoint is avoided for %v", duration)
	}
	h.recordSuccess("a")
	if h.isAvoided("a", now) {
		t.Error("an endpoint is avoided after it answered")
	}
	h.recordFailure("b", now)
	h.recordFailure("c", now+2*recordRetention)
	if h.records["b"] != nil {
		t.Error("an expired failure record was kept")
	}
}

// An engine serves a version that it has just loaded before its registry entry shows it.
func TestEndpointNotRegisteredWithTheVersionIsChosenLast(t *testing.T) {
	p := NewPlacer()
	endpoints := []*catalog.Endpoint{newEndpoint("old", "east", 1), newEndpoint("new", "east", 2)}
	query := Query{LocalRegion: "east", Model: "m", MinVersion: 2, Exclude: map[catalog.EndpointID]bool{}}
	p.Meter("new").AddInFlight(4)
	if got := pickID(p, endpoints, query); got != "new" {
		t.Errorf("chose %q, want the endpoint whose registry entry shows the version", got)
	}
	query.Exclude["new"] = true
	if got := pickID(p, endpoints, query); got != "old" {
		t.Errorf("chose %q although the only other endpoint is excluded, want old", got)
	}
}

// An engine that is about to load a version empties, so that it looks like the least loaded one while it refuses requests. On
// the booking fleet's changes of weights, callers were refused after four such engines although others had room.
func TestEndpointThatRefusedForAChangeOfWeightsIsChosenLast(t *testing.T) {
	p := NewPlacer()
	changing, loaded := newEndpoint("a", "east", 1), newEndpoint("b", "west", 1)
	p.Meter("b").AddInFlight(3)
	query := Query{LocalRegion: "east", Model: "m", Now: time.Second}
	endpoints := []*catalog.Endpoint{changing, loaded}
	p.RecordRefusal("a", time.Second)
	if got := pickID(p, endpoints, query); got != "b" {
		t.Errorf("chose %s, which has just refused", got)
	}
	query.Exclude = map[catalog.EndpointID]bool{"b": true}
	if got := pickID(p, endpoints, query); got != "a" {
		t.Errorf("chose %q although no other endpoint is left", got)
	}
	query.Exclude, query.Now = nil, time.Second+refusalMemory
	if got := pickID(p, endpoints, query); got != "a" {
		t.Errorf("chose %s, want the less loaded endpoint again", got)
	}
}
