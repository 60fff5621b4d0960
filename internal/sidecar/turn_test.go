package sidecar

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

var fleet = []core.HostID{"a", "b", "c", "d", "e", "f", "g"}

func TestEveryHostHasAPlaceOfItsOwn(t *testing.T) {
	taken := make(map[float64]core.HostID)
	for _, host := range fleet {
		place := placeInTurn(host, fleet, 2)
		if other, double := taken[place]; double || place < 0 || place > 1 {
			t.Errorf("%s and %s have place %v", host, other, place)
		}
		taken[place] = host
		if next := placeInTurn(host, fleet, 3); next != 1-place {
			t.Errorf("%s is at %v, and at %v for the next version", host, place, next)
		}
	}
	if placeInTurn("a", []core.HostID{"a"}, 2) != 0 {
		t.Error("the only host waits")
	}
}

func TestTurnsLieWithinTheBound(t *testing.T) {
	const bound = 8 * time.Second
	named := 100 * time.Second
	for _, place := range []float64{0, 0.5, 1} {
		turn := turnAt(named, named+bound, bound, place)
		if turn < named || turn > named+bound-time.Second {
			t.Errorf("place %v begins %v after the naming", place, turn-named)
		}
	}
	due := named + 4*time.Second // an older version was named four seconds before
	if turn := turnAt(named, due, bound, 1); turn >= due {
		t.Errorf("the turn at %v lies after the older version is due at %v", turn, due)
	}
}
