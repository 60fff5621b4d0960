package sidecar

import (
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
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

// While the origin is away the newest version cannot be had before the old one is due: the version between them is
// loaded in turns as if it were the newest, so that not all engines change at the last moment.
func TestAVersionBetweenTakesItsTurnsWhileTheOriginIsAway(t *testing.T) {
	engine := &fakeEngine{staged: make(map[int][]byte), spoil: -1}
	s := newSidecar(t, engine, &fakeOrigin{}, &fakeSource{}, "127.0.0.1:9")
	wait(t, "a view", func() bool { return s.follower.View().Index != nil })
	bound := s.settings.VersionMs.Duration()
	now := bootclock.Now()
	due := now + bound
	between := &goal{version: 2, named: now}
	newest := &goal{version: 3, named: now, advanced: now}
	k := &keeper{sidecar: s, model: model, goals: []*goal{between, newest}}
	if turn := k.turn(s.follower.View(), between, due); turn != due-supersededMargin {
		t.Errorf("while the newest version arrives the turn is %v before it is due, want %v", due-turn, supersededMargin)
	}
	newest.advanced = now - 2*originPatience
	if turn, want := k.turn(s.follower.View(), between, due), turnAt(now, due, bound, 0); turn != want {
		t.Errorf("while the origin is away the turn is %v after the naming, want %v", turn-now, want-now)
	}
}

// The keeper may wait for the origin when the version has to be left.
func TestTheGateClosesWithoutTheKeeper(t *testing.T) {
	s := &Sidecar{}
	s.serving.Store(1)
	now := bootclock.Now()
	s.closes.Store(closingTime(now+time.Hour, true))
	if !s.serves(1) || s.serves(2) {
		t.Error("the version that runs is not served, or one that does not run is")
	}
	s.closes.Store(closingTime(now, true))
	if s.serves(1) {
		t.Error("a version that has to be left is served")
	}
	s.closes.Store(closingTime(0, false))
	if !s.serves(1) {
		t.Error("a version that need not be left is not served")
	}
}

// What a change to one version announced says nothing of requests that run with that version.
func TestANewVersionIsNotLeftForItsOwnChange(t *testing.T) {
	s := &Sidecar{logger: &log.Logger{Level: log.PanicLevel}}
	s.leaving.Store(int64(bootclock.Now()))
	s.serve(2, false)
	if s.leaving.Load() != 0 {
		t.Error("requests are refused for a change that is done")
	}
}

// On a day on which weights arrived four seconds after the first turns, engines refused all but short requests meanwhile.
func TestAnEngineIsNotEmptiedBeforeItsWeightsCanBeThere(t *testing.T) {
	now := 100 * time.Second
	turn := now - time.Second
	if empty := emptyAt(turn, now, 3*time.Second); empty != now+3*time.Second {
		t.Errorf("an engine is emptied %v before its weights are there", now+3*time.Second-empty)
	}
	if empty := emptyAt(now+5*time.Second, now, 3*time.Second); empty != now+5*time.Second {
		t.Errorf("an engine is emptied %v before its turn", now+5*time.Second-empty)
	}
}

// After an outage of the store two versions stood named a tenth of a second apart; a hundred hosts fetched both at once, and
// had the newer one six seconds later than without the older.
func TestOfVersionsNamedTogetherTheNewerIsBrought(t *testing.T) {
	k := &keeper{sidecar: newSidecar(t, &fakeEngine{staged: make(map[int][]byte), spoil: -1}, &fakeOrigin{}, &fakeSource{}, "127.0.0.1:9")}
	paired := k.paired()
	for _, test := range []struct {
		apart time.Duration
		want  []int64
	}{
		{0, []int64{3}},
		{paired / 2, []int64{3}},
		{2 * paired, []int64{2, 3}},
	} {
		k.aim(model, catalog.Namings{{Version: 2, Seen: time.Minute}, {Version: 3, Seen: time.Minute + test.apart}}, 1)
		var got []int64
		for _, g := range k.goals {
			got = append(got, g.version)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("versions %v are brought when named %v apart, want %v", got, test.apart, test.want)
		}
	}
}
