package placement

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

func at(id string, region core.Region, version int64) *catalog.Endpoint {
	endpoint := &catalog.Endpoint{ID: catalog.EndpointID(id), Region: region, Slots: 4}
	if version > 0 {
		endpoint.Loaded = []catalog.Loaded{{Model: "m", Version: version}}
	}
	return endpoint
}

func pick(p *Placer, endpoints []*catalog.Endpoint, query Query) string {
	if chosen := p.Pick(endpoints, query); chosen != nil {
		return string(chosen.ID)
	}
	return ""
}

func names(endpoints []*catalog.Endpoint) string {
	var text string
	for _, endpoint := range endpoints {
		text += string(endpoint.ID)
	}
	return text
}

func TestFilter(t *testing.T) {
	endpoints := []*catalog.Endpoint{at("a", "east", 1), at("b", "east", 2), at("c", "west", 3), at("d", "east", 0)}
	west := catalog.RegionsOf(&catalog.Route{Regions: []core.Region{"west"}}, nil)
	for _, test := range []struct {
		name     string
		query    Query
		able     string
		changing string
	}{
		{"plain service", Query{}, "abcd", ""},
		{"model", Query{Model: "m"}, "abc", "d"},
		{"another model", Query{Model: "n"}, "", "abcd"},
		{"required version", Query{Model: "m", Version: 2}, "bc", "ad"},
		{"region", Query{Regions: west}, "c", ""},
		{"excluded", Query{Exclude: map[catalog.EndpointID]bool{"a": true, "c": true}}, "bd", ""},
	} {
		able, changing := filter(endpoints, test.query)
		if names(able) != test.able || names(changing) != test.changing {
			t.Errorf("%s: %q and %q, want %q and %q", test.name, names(able), names(changing), test.able, test.changing)
		}
	}
}

func TestTheLeastLoadedGoesFirstAndNearBeforeFar(t *testing.T) {
	p := NewPlacer()
	endpoints := []*catalog.Endpoint{at("near", "east", 0), at("far", "west", 0)}
	query := Query{Home: "east"}
	if got := pick(p, endpoints, query); got != "near" {
		t.Errorf("%s is chosen among equals", got)
	}
	p.Load("near").Add(1)
	if got := pick(p, endpoints, query); got != "far" {
		t.Errorf("%s is chosen although it has a request more of four slots", got)
	}
	p.Load("near").Add(-1)
	p.Load("near").Report(wire.Load{Running: 3, Limit: 4}, 0)
	if got := pick(p, endpoints, query); got != "far" {
		t.Errorf("%s is chosen although others load it", got)
	}
}

// TestGatewaysThatKnowTheSameSpread holds the load of many gateways that see equal endpoints at the same moment.
func TestGatewaysThatKnowTheSameSpread(t *testing.T) {
	endpoints := []*catalog.Endpoint{at("a", "east", 0), at("b", "east", 0), at("c", "east", 0)}
	chosen := make(map[string]bool)
	for start := range endpoints {
		p := NewPlacer()
		p.draw = func(int) int { return start }
		chosen[pick(p, endpoints, Query{Home: "east"})] = true
	}
	if len(chosen) != len(endpoints) {
		t.Errorf("only %v are chosen", chosen)
	}
}

func TestFailingEndpointsAreAvoidedWhileOthersAreLeft(t *testing.T) {
	p := NewPlacer()
	endpoints := []*catalog.Endpoint{at("a", "east", 0), at("b", "west", 0)}
	query := Query{Home: "east", Now: time.Second}
	p.Failed("a", time.Second)
	if got := pick(p, endpoints, query); got != "b" {
		t.Errorf("%s is chosen right after it failed", got)
	}
	p.Failed("b", time.Second)
	if got := pick(p, endpoints, query); got == "" {
		t.Error("none is chosen while all failed")
	}
	query.Now = time.Second + firstAvoidance
	if got := pick(p, endpoints, query); got != "a" {
		t.Errorf("%s is chosen after the avoidance", got)
	}
}

func TestAvoidanceGrowsAndIsBounded(t *testing.T) {
	h := newHealth()
	now := time.Duration(0)
	for range 20 {
		h.failed("a", now)
		h.failed("a", now) // under way together
		now = h.known["a"].until
	}
	h.failed("a", now)
	if span := h.known["a"].until - now; span != longestAvoidance {
		t.Errorf("the endpoint is avoided for %v", span)
	}
	h.succeeded("a")
	if h.failing("a", now) {
		t.Error("an endpoint that answered is avoided")
	}
	h.failed("b", now)
	h.failed("c", now+2*forgetAfter)
	if h.known["b"] != nil {
		t.Error("a failure of long ago is remembered")
	}
}

// An engine that has just loaded the version serves it before its entry says so.
func TestAnEntryThatDoesNotShowTheVersionComesLast(t *testing.T) {
	p := NewPlacer()
	endpoints := []*catalog.Endpoint{at("old", "east", 1), at("new", "east", 2)}
	query := Query{Home: "east", Model: "m", Version: 2, Exclude: map[catalog.EndpointID]bool{}}
	p.Load("new").Add(4)
	if got := pick(p, endpoints, query); got != "new" {
		t.Errorf("%q is chosen before the one that shows the version", got)
	}
	query.Exclude["new"] = true
	if got := pick(p, endpoints, query); got != "old" {
		t.Errorf("%q is chosen when no entry shows the version", got)
	}
}
