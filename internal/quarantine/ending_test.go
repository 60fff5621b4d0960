package quarantine

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

const wholeRequest core.PromptPart = requestPrefix + "fatal"

// endOf returns the end of an engine at the time under a whole request that had run there for runFor. Each has its own id and request.
func endOf(id int, at, runFor time.Duration) timedCrash {
	crash := crashOf(id, prompt{"c", wholeRequest})
	crash.Engine, crash.Recorded = Incarnation(fmt.Sprint("i-", id)), at
	crash.Suspects[0].Sent, crash.Suspects[0].Broke = at-runFor, at
	return timedCrash{crash, at}
}

// succession returns ends of engines with the time between two of them.
func succession(count int, between, runFor time.Duration) []timedCrash {
	var crashes []timedCrash
	for id := range count {
		crashes = append(crashes, endOf(id, time.Hour+time.Duration(id)*between, runFor))
	}
	return crashes
}

func each(crashes []timedCrash, change func(i int, crash *Crash)) []timedCrash {
	for i, crash := range crashes {
		change(i, crash.Crash)
	}
	return crashes
}

func TestEndsOfEnginesUnderOneRequest(t *testing.T) {
	const between, short = 5 * time.Millisecond, time.Millisecond
	sameID := func(_ int, c *Crash) { c.Suspects[0].Request = "the same" }
	sameEngine := func(_ int, c *Crash) { c.Engine = "the same" }
	proven := func(_ int, c *Crash) { c.Suspects[0].Proven = prompt{wholeRequest} }
	unnamed := func(_ int, c *Crash) { c.Engine, c.Recorded = "", 0; c.Suspects[0].Sent, c.Suspects[0].Broke = 0, 0 }
	for _, test := range []struct {
		name        string
		crashes     []timedCrash
		quarantined bool
	}{
		{"in quick succession", succession(minCrashes, between, short), true},
		{"one too few", succession(minCrashes-1, between, short), false},
		{"under one call", each(succession(minCrashes, between, short), sameID), true},
		{"one engine, seen by several processes", each(succession(2*minCrashes, 2*simultaneity, short), sameEngine), false},
		{"engines that had the request before the first of them ended", succession(2*minCrashes, between, time.Second), false},
		{"answered before", each(succession(minProvenCrashes-1, between, short), proven), false},
		{"answered before, and enough ends", each(succession(minProvenCrashes, between, short), proven), true},
		{"reported by older processes", each(succession(minCrashes, 2*simultaneity, short), unnamed), true},
		{"reported by older processes, simultaneous", each(succession(minCrashes, between, short), unnamed), false},
		{"reported by older processes, under one call", each(each(succession(minCrashes, 2*simultaneity, short), unnamed), sameID), false},
	} {
		found := offenders(test.crashes)
		if quarantined := len(found) == 1 && found[0] == wholeRequest; quarantined != test.quarantined || len(found) > 1 {
			t.Errorf("%s: the offenders are %v", test.name, found)
		}
	}
}

func TestObserverThatNoticesLateDoesNotSeparateEnds(t *testing.T) {
	const between = 50 * time.Millisecond
	crashes := succession(minCrashes, between, time.Second)
	for i, crash := range succession(minCrashes, between, time.Millisecond) { // of requests that were sent later
		crash.ID = CrashID(fmt.Sprint("late", i))
		crashes = append(crashes, crash)
	}
	if found := offenders(crashes); len(found) > 0 {
		t.Errorf("the offenders are %v", found)
	}
}

func TestBystandersOfAnExplainedCrashAreNotAccusedByItsOtherObservers(t *testing.T) {
	crashes := succession(minCrashes, time.Second, time.Millisecond)
	for i, crash := range succession(minCrashes, time.Second, time.Second/2) {
		crash.ID = CrashID(fmt.Sprint("other", i))
		crash.Suspects[0].Parts = prompt{requestPrefix + "sound"}
		crashes = append(crashes, crash)
	}
	crashes = append(crashes, endOf(minCrashes, 2*time.Hour, time.Millisecond))
	if found := offenders(crashes); len(found) != 1 || found[0] != wholeRequest {
		t.Errorf("the offenders are %v, want %v", found, wholeRequest)
	}
}

func TestSlowReportsDoNotJoinCrashesOfOneReporter(t *testing.T) {
	const between = time.Millisecond
	reporter, clock := newTestLedger()
	reader, readerClock := newTestLedger()
	*readerClock = 5 * time.Hour
	var reports []Report // all arrive at once
	for id := range minCrashes {
		sent := *clock
		*clock += between / 2
		reporter.RecordCrash(Incarnation(fmt.Sprint(id)), []Suspect{{Request: "r", Parts: prompt{wholeRequest}, Sent: sent, Broke: *clock}})
		reports = append(reports, reporter.takeOwn())
		*clock += between / 2
	}
	for _, report := range reports {
		reader.merge(report)
	}
	*readerClock += verdictDelay + minCrashes*between
	if !isBlocked(reader, prompt{wholeRequest}) {
		t.Error("the crashes do not count as separate")
	}
}

func TestCrashesThatAnOlderProcessPassesOnAreCompleted(t *testing.T) {
	crash := endOf(0, time.Hour, time.Second)
	older := *crash.Crash
	older.Engine, older.Recorded = "", 0
	older.Suspects = []Suspect{{Request: "r", Parts: prompt{wholeRequest}}}
	raw, err := json.Marshal(older)
	if err != nil || strings.Contains(string(raw), `"e"`) || strings.Contains(string(raw), `"t"`) {
		t.Fatalf("a crash without an engine is sent as %s, %v", raw, err)
	}
	l, _ := newTestLedger()
	l.merge(Report{Crashes: []AgedCrash{{Crash: older}}})
	l.merge(Report{Crashes: []AgedCrash{{Crash: *crash.Crash}}})
	version := l.version
	l.merge(Report{Crashes: []AgedCrash{{Crash: older}}})
	if len(l.records) != 1 || l.records[0].Engine != crash.Engine || l.records[0].Suspects[0].Sent == 0 {
		t.Errorf("the crash is %+v", l.records[0].Crash)
	}
	if l.version != version {
		t.Error("a report without news counts as a change")
	}
}
