package follow

import (
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// A delegate holds a request for some time before it answers, and the follower has to add that time when it converts
// the delegate's ages. Otherwise a version that the delegate read 300 ms before it answered would seem to have been
// requested before the follower sent its request.
func TestDelegateAgesAreConvertedToFollowersClock(t *testing.T) {
	response := readResponse{
		Waited:        900 * time.Millisecond,
		Age:           300 * time.Millisecond,
		RequestedAges: map[core.Model]time.Duration{"m": 300 * time.Millisecond},
	}
	read := response.toOperatorRead(10 * time.Second)
	if want := 10600 * time.Millisecond; read.sentAt != want {
		t.Errorf("the read includes changes up to %v, want %v", read.sentAt, want)
	}
	if want := 10600 * time.Millisecond; read.requestedAt("m") != want {
		t.Errorf("the version was requested at %v, want %v", read.requestedAt("m"), want)
	}
}

// A process that asks a delegate late has to learn when the version was requested, not when the delegate last read it.
func TestLateFollowerLearnsVersionRequestTime(t *testing.T) {
	m := newMirror()
	add := func(sent time.Duration, version uint64, wanted map[core.Model]int64) {
		t.Helper()
		changes := OperatorChanges{Cursor: Cursor{Valid: true, Version: version}, Wanted: wanted}
		if err := m.addOperator(operatorRead{asOf: sent, changes: changes}); err != nil {
			t.Fatal(err)
		}
	}
	add(time.Second, 1, map[core.Model]int64{"m": 2})
	add(3*time.Second, 2, map[core.Model]int64{"m": 2}) // a full read that lists it again
	add(5*time.Second, 3, nil)
	changes, _ := m.operatorSince(Cursor{}, true)
	if age := m.requestedAges(changes.Wanted, 6*time.Second)["m"]; age != 5*time.Second {
		t.Errorf("the version counts as requested for %v, want 5s", age)
	}
}

func TestVersionRequestTimeIsAsOfTheRead(t *testing.T) {
	s := newState()
	s.step(operatorRead{asOf: 4 * time.Second, changes: OperatorChanges{Wanted: map[core.Model]int64{"m": 2}}})
	if due, _ := s.wanted["m"].Deadline(1, 8*time.Second); due != 12*time.Second {
		t.Errorf("version 1 must be replaced by %v, want 12s", due)
	}
}

// storeTime converts a boot clock time to the store's clock, which is 100 seconds ahead in these tests.
func storeTime(at time.Duration) time.Duration { return at + 100*time.Second }

func TestChangeEndingAWaitIsAsOldAsTheResponse(t *testing.T) {
	var clock storeClock
	clock.asOf(10*time.Second, 10*time.Second+8*time.Millisecond, storeTime(10*time.Second+4*time.Millisecond))
	answered := 10900 * time.Millisecond
	asOf := clock.asOf(10010*time.Millisecond, answered+4*time.Millisecond, storeTime(answered))
	if asOf > answered {
		t.Errorf("the read is as of %v, after the response left the store", asOf)
	}
	if earliest := answered - maxFeedDelay - 10*time.Millisecond; asOf < earliest {
		t.Errorf("the read is as of %v, want %v or later", asOf, earliest)
	}
}

func TestImmediateResponseIsAsOfItsRequest(t *testing.T) {
	var clock storeClock
	clock.asOf(10*time.Second, 10*time.Second, storeTime(10*time.Second))
	sent := 20 * time.Second
	if asOf := clock.asOf(sent, sent+3*time.Millisecond, storeTime(sent)); asOf != sent {
		t.Errorf("the read is as of %v, want %v", asOf, sent)
	}
}

// The store's clock goes back when the store is replaced, and jumps ahead if it is faulty.
func TestStoreClockJumpKeepsReadTimeInBounds(t *testing.T) {
	for _, jump := range []time.Duration{-time.Hour, time.Hour} {
		var clock storeClock
		clock.asOf(10*time.Second, 10*time.Second, storeTime(10*time.Second))
		sent, received := 10500*time.Millisecond, 11*time.Second
		if asOf := clock.asOf(sent, received, storeTime(received)+jump); asOf < sent || asOf > received {
			t.Errorf("after a jump of %v the read is as of %v, not between its request and its response", jump, asOf)
		}
	}
}

// A delegate whose waiting reads end without a change is still connected to the store. Just before such a read ends,
// the previous one was sent nearly two wait times ago, which must not count as silence of the store.
func TestQuietDelegateIsNotSilent(t *testing.T) {
	wait := time.Second
	m := newMirror()
	var clock storeClock
	clock.observe(10*time.Second, storeTime(10*time.Second)) // a read of the registry, which is answered without a wait
	for _, sent := range []time.Duration{10 * time.Second, 11 * time.Second} {
		received := sent + wait
		read := operatorRead{sentAt: sent, asOf: clock.asOf(sent, received, storeTime(received)), changes: OperatorChanges{Cursor: Cursor{Valid: true}}}
		if err := m.addOperator(read); err != nil {
			t.Fatal(err)
		}
	}
	age, silence := m.ages(12*time.Second + wait)
	if age < 2*wait {
		t.Errorf("the age is %v, want at least %v since the read was sent", age, 2*wait)
	}
	if silence > wait+maxDelegateSilence {
		t.Errorf("a delegate that reads continuously reports a silence of %v", silence)
	}
}
