package placement

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

func TestLeavingEndpointIsNotChosenUntilItStartsAnew(t *testing.T) {
	p := NewPlacer()
	leaving := newEndpoint("a", "east", 0)
	leaving.Born = 5
	if !p.RecordLeaving(leaving, 0) || p.RecordLeaving(leaving, 0) {
		t.Error("only the first record of a leaving endpoint is new")
	}
	query := Query{LocalRegion: "east", Now: time.Hour}
	if got := pickID(p, []*catalog.Endpoint{leaving}, query); got != "" {
		t.Errorf("chose %q, which is leaving", got)
	}
	if _, known := p.HoldOff([]*catalog.Endpoint{leaving}, query); known {
		t.Error("a leaving endpoint is expected to return")
	}
	restarted := *leaving
	restarted.Born = 6
	if got := pickID(p, []*catalog.Endpoint{&restarted}, query); got != "a" {
		t.Error("the next incarnation of the endpoint is not chosen")
	}
}

func TestEndpointIsNotChosenWhileItHoldsRequestsOff(t *testing.T) {
	p := NewPlacer()
	short, long, free := newEndpoint("a", "east", 0), newEndpoint("b", "east", 0), newEndpoint("c", "east", 0)
	p.RecordHoldOff(short, time.Second, 2*time.Second)
	p.RecordHoldOff(short, time.Second, time.Second) // a shorter one does not end the first
	p.RecordHoldOff(long, time.Second, 5*time.Second)
	query := Query{LocalRegion: "east", Now: 2 * time.Second}
	if got := pickID(p, []*catalog.Endpoint{short, long, free}, query); got != "c" {
		t.Errorf("chose %q, want the only endpoint that takes requests", got)
	}
	if _, known := p.HoldOff([]*catalog.Endpoint{short, long, free}, query); known {
		t.Error("requests are said to be held off although an endpoint takes them")
	}
	query.Exclude = map[catalog.EndpointID]bool{"a": true} // tried by this request
	if wait, known := p.HoldOff([]*catalog.Endpoint{short, long}, query); !known || wait != time.Second {
		t.Errorf("the first endpoint returns in %v (%v), want 1s", wait, known)
	}
	query.Now = 3 * time.Second
	if got := pickID(p, []*catalog.Endpoint{short, long}, Query{LocalRegion: "east", Now: query.Now}); got != "a" {
		t.Errorf("chose %q, want the endpoint whose time has passed", got)
	}
}

func TestWithdrawalsExpire(t *testing.T) {
	w := newWithdrawals()
	w.recordLeaving(newEndpoint("a", "east", 0), 0)
	w.recordHoldOff(newEndpoint("b", "east", 0), 2*withdrawalRetention, 3*withdrawalRetention)
	if len(w.records) != 1 {
		t.Errorf("%d records are kept, want 1", len(w.records))
	}
}
