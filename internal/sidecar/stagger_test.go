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

var testHosts = []core.HostID{"a", "b", "c", "d", "e", "f", "g"}

func TestEachHostHasItsOwnStaggerPosition(t *testing.T) {
	taken := make(map[float64]core.HostID)
	for _, host := range testHosts {
		position := staggerPosition(host, testHosts, 2)
		if other, duplicate := taken[position]; duplicate || position < 0 || position > 1 {
			t.Errorf("%s and %s have place %v", host, other, position)
		}
		taken[position] = host
		if next := staggerPosition(host, testHosts, 3); next != 1-position {
			t.Errorf("%s is at %v, and at %v for the next version", host, position, next)
		}
	}
	if staggerPosition("a", []core.HostID{"a"}, 2) != 0 {
		t.Error("the only host waits")
	}
}

func TestStaggeredStartsLieWithinTheBound(t *testing.T) {
	const bound = 8 * time.Second
	requestedAt := 100 * time.Second
	for _, position := range []float64{0, 0.5, 1} {
		start := staggeredStart(requestedAt, requestedAt+bound, bound, position)
		if start < requestedAt || start > requestedAt+bound-time.Second {
			t.Errorf("place %v begins %v after the naming", position, start-requestedAt)
		}
	}
	deadline := requestedAt + 4*time.Second // an older version was named four seconds before
	if start := staggeredStart(requestedAt, deadline, bound, 1); start >= deadline {
		t.Errorf("the turn at %v lies after the older version is due at %v", start, deadline)
	}
}

// While the origin is away the newest version cannot be had before the old one is due: the version between them is
// loaded in turns as if it were the newest, so that not all engines change at the last moment.
func TestIntermediateVersionIsStaggeredWhileOriginIsUnavailable(t *testing.T) {
	engine := &fakeEngine{staged: make(map[int][]byte), corruptChunk: -1}
	s := newSidecar(t, engine, &fakeOrigin{}, &fakeSource{}, "127.0.0.1:9")
	waitFor(t, "a view", func() bool { return s.follower.View().Index != nil })
	bound := s.settings.VersionMs.Duration()
	now := bootclock.Now()
	deadline := now + bound
	intermediate := &targetVersion{version: 2, requestedAt: now}
	newest := &targetVersion{version: 3, requestedAt: now, lastChunkAt: now}
	u := &updater{sidecar: s, model: model, targets: []*targetVersion{intermediate, newest}}
	if start := u.loadStart(s.follower.View(), intermediate, deadline); start != deadline-supersededMargin {
		t.Errorf("while the newest version arrives the turn is %v before it is due, want %v", deadline-start, supersededMargin)
	}
	newest.lastChunkAt = now - 2*originTimeout
	if start, want := u.loadStart(s.follower.View(), intermediate, deadline), staggeredStart(now, deadline, bound, 0); start != want {
		t.Errorf("while the origin is away the turn is %v after the naming, want %v", start-now, want-now)
	}
}

// The keeper may wait for the origin when the version has to be left.
func TestServeDeadlineAppliesWithoutTheUpdater(t *testing.T) {
	s := &Sidecar{}
	s.servingVersion.Store(1)
	now := bootclock.Now()
	s.serveDeadline.Store(serveDeadline(now+time.Hour, true))
	if !s.canServe(1) || s.canServe(2) {
		t.Error("the version that runs is not served, or one that does not run is")
	}
	s.serveDeadline.Store(serveDeadline(now, true))
	if s.canServe(1) {
		t.Error("a version that has to be left is served")
	}
	s.serveDeadline.Store(serveDeadline(0, false))
	if !s.canServe(1) {
		t.Error("a version that need not be left is not served")
	}
}

// What a change to one version announced says nothing of requests that run with that version.
func TestNewVersionClearsTheDrainDeadline(t *testing.T) {
	s := &Sidecar{logger: &log.Logger{Level: log.PanicLevel}}
	s.drainDeadline.Store(int64(bootclock.Now()))
	s.setServing(2, false)
	if s.drainDeadline.Load() != 0 {
		t.Error("requests are refused for a change that is done")
	}
}

// On a day on which weights arrived four seconds after the first turns, engines refused all but short requests meanwhile.
func TestEngineIsNotDrainedBeforeItsWeightsArrive(t *testing.T) {
	now := 100 * time.Second
	loadStart := now - time.Second
	if deadline := drainDeadlineAt(loadStart, now, 3*time.Second); deadline != now+3*time.Second {
		t.Errorf("an engine is emptied %v before its weights are there", now+3*time.Second-deadline)
	}
	if deadline := drainDeadlineAt(now+5*time.Second, now, 3*time.Second); deadline != now+5*time.Second {
		t.Errorf("an engine is emptied %v before its turn", now+5*time.Second-deadline)
	}
}

// After an outage of the store two versions stood named a tenth of a second apart; a hundred hosts fetched both at once, and
// had the newer one six seconds later than without the older.
func TestVersionsRequestedCloseTogetherAreCoalesced(t *testing.T) {
	u := &updater{sidecar: newSidecar(t, &fakeEngine{staged: make(map[int][]byte), corruptChunk: -1}, &fakeOrigin{}, &fakeSource{}, "127.0.0.1:9")}
	window := u.coalesceWindow()
	for _, test := range []struct {
		apart time.Duration
		want  []int64
	}{
		{0, []int64{3}},
		{window / 2, []int64{3}},
		{2 * window, []int64{2, 3}},
	} {
		u.setTargets(model, catalog.Namings{{Version: 2, Seen: time.Minute}, {Version: 3, Seen: time.Minute + test.apart}}, 1)
		var got []int64
		for _, target := range u.targets {
			got = append(got, target.version)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("versions %v are brought when named %v apart, want %v", got, test.apart, test.want)
		}
	}
}
