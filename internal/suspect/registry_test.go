package suspect

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lovageglade/lovageglade/internal/wire"
)

var now = time.Unix(1000, 0)

func TestReportsMergeInAnyOrderToTheSame(t *testing.T) {
	if err := flag.Set("rapid.seed", "20261"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wire.Suspicion {
			return wire.Suspicion{
				Fingerprint: uint64(rapid.IntRange(1, 3).Draw(t, "fingerprint")),
				Round:       uint32(rapid.IntRange(0, 2).Draw(t, "round")),
				Crashes:     uint32(rapid.IntRange(0, 3).Draw(t, "crashes")),
			}
		}), 0, 8).Draw(t, "reports")
		one, other := NewRegistry(), NewRegistry()
		one.Merge(reports, now)
		shuffled := rapid.Permutation(reports).Draw(t, "order")
		other.Merge(shuffled, now)
		other.Merge(reports, now)
		for fingerprint := range uint64(4) {
			if a, b := one.Crashes(fingerprint, now), other.Crashes(fingerprint, now); a != b {
				t.Fatalf("%d crashes in one order, %d in another", a, b)
			}
		}
	})
}

func TestAnswerEndsTheSuspicionEverywhere(t *testing.T) {
	here, there := NewRegistry(), NewRegistry()
	here.Crashed(7, now, now)
	there.Merge(here.Report(now), now)
	there.Answered(7, now)
	here.Merge(there.Report(now), now)
	if here.Crashes(7, now) != 0 || there.Crashes(7, now) != 0 {
		t.Error("the request is still suspect")
	}
}

func TestOldNewsDiesOut(t *testing.T) {
	here, there := NewRegistry(), NewRegistry()
	here.Crashed(7, now, now)
	later := now.Add(memory - time.Second)
	there.Merge(here.Report(later), later)
	end := now.Add(memory + 2*time.Second)
	if there.Crashes(7, later) != 1 || there.Crashes(7, end) != 0 || there.Report(end) != nil {
		t.Error("passing the news on renewed it")
	}
}

func TestRegistryAndReportsAreBounded(t *testing.T) {
	registry := NewRegistry()
	for fingerprint := range uint64(2 * maxEntries) {
		registry.Crashed(fingerprint, now, now.Add(time.Duration(fingerprint)))
	}
	report := registry.Report(now.Add(time.Second))
	if len(registry.entries) > maxEntries || len(report) > maxReport {
		t.Errorf("%d entries, %d reported", len(registry.entries), len(report))
	}
	latest := func(s wire.Suspicion) bool { return s.Fingerprint == 2*maxEntries-1 }
	if !slices.ContainsFunc(report, latest) {
		t.Error("the latest crash is not reported")
	}
}

func TestOneCrashIsCountedOnceForAllThatRan(t *testing.T) {
	registry := NewRegistry()
	for i := range 5 {
		registry.Crashed(7, now, now.Add(time.Duration(i+1)*time.Second))
	}
	if crashes := registry.Crashes(7, now.Add(time.Minute)); crashes != 1 {
		t.Errorf("%d crashes", crashes)
	}
	registry.Crashed(7, now.Add(time.Minute), now.Add(time.Minute))
	if crashes := registry.Crashes(7, now.Add(time.Minute)); crashes != 2 {
		t.Errorf("%d crashes after another", crashes)
	}
}
