package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// endEngine records the end of another engine under the whole request, which was sent to it a moment before.
func endEngine(l *Ledger, clock *time.Duration) {
	sent := *clock + time.Millisecond
	*clock += 2 * time.Millisecond
	suspect := Suspect{Request: "r", Parts: prompt{wholeRequest}, Sent: sent, Broke: *clock}
	l.RecordCrash(Incarnation(fmt.Sprint("i-", *clock)), []Suspect{suspect})
}

// countTrials returns the trials of the whole request that pass until shortly before its evidence expires.
func countTrials(l *Ledger, clock *time.Duration, crash bool) (trials int) {
	for end := *clock + crashRetention - time.Minute; *clock < end; *clock += time.Second {
		if isBlocked(l, prompt{wholeRequest}) && l.TakeTrial(wholeRequest) {
			trials++
			if crash {
				endEngine(l, clock)
			}
		}
	}
	return trials
}

func TestTrialsOfAWholeRequestCountAgainstItsLateSends(t *testing.T) {
	for inFlight := range maxLateSends + 2 {
		for _, crash := range []bool{false, true} {
			l, clock := newTestLedger()
			for range minCrashes + inFlight {
				endEngine(l, clock)
			}
			*clock += verdictDelay
			if !isBlocked(l, prompt{wholeRequest}) {
				t.Fatalf("the request is not quarantined after %d crashes", minCrashes+inFlight)
			}
			if trials, want := countTrials(l, clock, crash), max(0, maxLateSends-inFlight); trials != want {
				t.Errorf("%d trials after %d sends before the verdict, want %d; they crash engines: %v", trials, inFlight, want, crash)
			}
		}
	}
}

func TestSendsToOneEngineAllCountAgainstTheBoundOfAWholeRequest(t *testing.T) {
	l, clock := newTestLedger()
	for range minCrashes + 1 {
		endEngine(l, clock)
	}
	last := l.records[minCrashes].Crash
	other := last.Suspects[0]
	other.Request = "sent to it as well"
	l.RecordCrash(last.Engine, []Suspect{other}) // as another process saw it
	*clock += verdictDelay
	if trials := countTrials(l, clock, true); trials != maxLateSends-2 {
		t.Errorf("%d trials after two sends to the fourth engine, want %d", trials, maxLateSends-2)
	}
}

func TestRestartsDoNotMultiplyTrialsOfAWholeRequest(t *testing.T) {
	l, clock := newTestLedger()
	for range minCrashes {
		endEngine(l, clock)
	}
	trials := 0
	for end := *clock + crashRetention - time.Minute; *clock < end; *clock += time.Second {
		report, _ := l.reportSince(0)
		l = NewLedger("host", func() time.Duration { return *clock })
		l.merge(report)
		if isBlocked(l, prompt{wholeRequest}) && l.TakeTrial(wholeRequest) {
			trials++
			endEngine(l, clock)
		}
	}
	if trials != maxLateSends {
		t.Errorf("%d trials, want %d", trials, maxLateSends)
	}
}
