package placement

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

func TestFewEndpointsAreAvoidedForErrorsAndNotForLong(t *testing.T) {
	s := newErrorShares()
	endpoints := []*catalog.Endpoint{newEndpoint("a", "east", 0), newEndpoint("b", "east", 0), newEndpoint("c", "east", 0)}
	s.record("a", true, 0)
	if got := joinIDs(s.exclude(endpoints, 0)); got != "abc" {
		t.Errorf("%s are left after one error", got)
	}
	s.record("a", true, 0)
	if got := joinIDs(s.exclude(endpoints, 0)); got != "bc" {
		t.Errorf("%s are left after two errors of a", got)
	}
	for range 4 {
		s.record("b", true, 0)
		s.record("b", false, 0)
	}
	if got := joinIDs(s.exclude(endpoints, 0)); got != "bc" {
		t.Errorf("%s are left, want the worst of three endpoints alone to be avoided", got)
	}
	if got := joinIDs(s.exclude(endpoints[:2], 0)); got != "ab" {
		t.Errorf("%s are left of two endpoints, want both", got)
	}
	if got := joinIDs(s.exclude(endpoints, 3*errorHalfLife)); got != "abc" {
		t.Errorf("%s are left after the errors have expired", got)
	}
	for range 100 {
		s.record("c", false, 0)
	}
	s.record("c", true, 0)
	s.record("c", true, 0)
	if s.share("c", 0) != 0 {
		t.Error("an endpoint is avoided for two errors in a hundred answers")
	}
	s.record("d", true, 2*recordRetention)
	if len(s.records) != 1 {
		t.Errorf("%d records are kept", len(s.records))
	}
}

// Without stated speeds, endpoints are chosen as before.
func TestErrorsCountOnlyWhereSpeedsAreStated(t *testing.T) {
	p := NewPlacer()
	endpoints := []*catalog.Endpoint{newEndpoint("a", "east", 0), newEndpoint("b", "west", 0), newEndpoint("c", "west", 0)}
	p.RecordAnswer("a", true, 0)
	if !p.RecordAnswer("a", true, 0) {
		t.Error("the second error is not reported as the one that avoids the endpoint")
	}
	if got := pickID(p, endpoints, Query{LocalRegion: "east"}); got != "a" {
		t.Errorf("chose %s", got)
	}
	report(p, endpoints[0], 0, 1, time.Millisecond)
	if got := pickID(p, endpoints, Query{LocalRegion: "east", Now: time.Millisecond}); got == "a" {
		t.Error("chose the endpoint that fails requests")
	}
}

func TestErrorThatIsTakenBackLeavesNoTrace(t *testing.T) {
	s := newErrorShares()
	endpoints := []*catalog.Endpoint{newEndpoint("a", "east", 0), newEndpoint("b", "east", 0)}
	s.record("a", true, 0)
	s.record("a", true, 0)
	s.takeBack("a", 0, errorHalfLife)
	s.record("a", true, errorHalfLife)
	if r := s.records["a"]; r.answers != 1.5 || r.errors != 1.5 {
		t.Errorf("%v errors in %v answers, want half of the one that is left and the new one", r.errors, r.answers)
	}
	s.takeBack("b", 0, 0)
	if got := joinIDs(s.exclude(endpoints, errorHalfLife)); got != "ab" {
		t.Errorf("%s are left of endpoints with few errors", got)
	}
}
