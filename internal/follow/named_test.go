package follow

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// The delegate's wait lies between the request and the answer. Counted once, a version of which the delegate read 300 ms
// before its answer left is not taken for one that was named before the request was sent.
func TestADelegatesReadIsPlacedOnTheFollowersClock(t *testing.T) {
	answer := readAnswer{
		Waited: 900 * time.Millisecond,
		Age:    300 * time.Millisecond,
		Named:  map[core.Model]time.Duration{"m": 300 * time.Millisecond},
	}
	read := answer.operatorRead(10 * time.Second)
	if want := 10600 * time.Millisecond; read.sent != want {
		t.Errorf("the state is as of %v, want %v", read.sent, want)
	}
	if want := 10600 * time.Millisecond; read.namedAt("m") != want {
		t.Errorf("the version was named at %v, want %v", read.namedAt("m"), want)
	}
}

// A process that asks a delegate late learns how long the version has been named, not when the delegate last read.
func TestALateFollowerLearnsWhenAVersionWasNamed(t *testing.T) {
	m := newMirror()
	add := func(sent time.Duration, version uint64, wanted map[core.Model]int64) {
		t.Helper()
		changes := OperatorChanges{Cursor: Cursor{Read: true, Version: version}, Wanted: wanted}
		if err := m.addOperator(operatorRead{sent: sent, changes: changes}); err != nil {
			t.Fatal(err)
		}
	}
	add(time.Second, 1, map[core.Model]int64{"m": 2})
	add(3*time.Second, 2, map[core.Model]int64{"m": 2}) // a whole read that lists it again
	add(5*time.Second, 3, nil)
	changes, _, _ := m.operatorSince(Cursor{}, true)
	if age := m.namedAges(changes.Wanted, 6*time.Second)["m"]; age != 5*time.Second {
		t.Errorf("the version counts as named for %v, want 5s", age)
	}
}

func TestAVersionReadFromTheStoreWasNamedAfterTheReadWasSent(t *testing.T) {
	s := newState()
	s.step(operatorRead{sent: 4 * time.Second, changes: OperatorChanges{Wanted: map[core.Model]int64{"m": 2}}})
	if due, _ := s.wanted["m"].Due(1, 8*time.Second); due != 12*time.Second {
		t.Errorf("version 1 has to be left at %v, want 12s", due)
	}
}

// storeTime is the store's time at a moment of the boot clock, in the tests of its clock.
func storeTime(at time.Duration) time.Duration { return at + 100*time.Second }

func TestAChangeThatEndsAWaitIsAsOldAsTheAnswer(t *testing.T) {
	var clock storeClock
	clock.named(10*time.Second, 10*time.Second+8*time.Millisecond, OperatorChanges{Whole: true, StoreTime: storeTime(10*time.Second + 4*time.Millisecond)})
	waited := OperatorChanges{Wanted: map[core.Model]int64{"m": 2}, StoreTime: storeTime(10900 * time.Millisecond)}
	named := clock.named(10010*time.Millisecond, 10904*time.Millisecond, waited)["m"]
	if named > 10900*time.Millisecond {
		t.Errorf("the version counts as named at %v, after the answer that brought it", named)
	}
	if earliest := 10900*time.Millisecond - feedLag - 10*time.Millisecond; named < earliest {
		t.Errorf("the version counts as named at %v, want %v or later", named, earliest)
	}
}

func TestAChangeBetweenTwoReadsIsNewerThanTheFirst(t *testing.T) {
	var clock storeClock
	clock.named(10*time.Second, 10*time.Second, OperatorChanges{Whole: true, StoreTime: storeTime(10 * time.Second)})
	at := 20 * time.Second
	named := clock.named(at, at+3*time.Millisecond, OperatorChanges{Wanted: map[core.Model]int64{"m": 2}, StoreTime: storeTime(at)})["m"]
	if named != at {
		t.Errorf("the version counts as named at %v, want %v, when the read was sent", named, at)
	}
}

// A store that is replaced begins its clock anew, or one that is wrong runs ahead.
func TestAJumpOfTheStoresClockMovesNoNamingPastItsAnswer(t *testing.T) {
	for _, jump := range []time.Duration{-time.Hour, time.Hour} {
		var clock storeClock
		clock.named(10*time.Second, 10*time.Second, OperatorChanges{Whole: true, StoreTime: storeTime(10 * time.Second)})
		answer := OperatorChanges{Wanted: map[core.Model]int64{"m": 2}, StoreTime: storeTime(11*time.Second) + jump}
		named := clock.named(10500*time.Millisecond, 11*time.Second, answer)["m"]
		if named < 10500*time.Millisecond || named > 11*time.Second {
			t.Errorf("after a jump of %v the version counts as named at %v, outside of its read", jump, named)
		}
	}
}
