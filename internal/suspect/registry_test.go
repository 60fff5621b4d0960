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

func TestMergeIsOrderIndependent(t *testing.T) {
	if err := flag.Set("rapid.seed", "20261"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wire.SuspectReport {
			return wire.SuspectReport{
				Fingerprint: uint64(rapid.IntRange(1, 3).Draw(t, "fingerprint")),
				Round:       uint32(rapid.IntRange(0, 2).Draw(t, "round")),
				Crashes:     uint32(rapid.IntRange(0, 3).Draw(t, "crashes")),
			}
		}), 0, 8).Draw(t, "reports")
		inOrder, shuffledAndRepeated := NewRegistry(), NewRegistry()
		inOrder.Merge(reports, now)
		shuffled := rapid.Permutation(reports).Draw(t, "order")
		shuffledAndRepeated.Merge(shuffled, now)
		shuffledAndRepeated.Merge(reports, now)
		for fingerprint := range uint64(4) {
			if a, b := inOrder.Crashes(fingerprint, now), shuffledAndRepeated.Crashes(fingerprint, now); a != b {
				t.Fatalf("%d crashes when merged in order, %d when shuffled and repeated", a, b)
			}
		}
	})
}

func TestAnswerClearsCrashesOnAllRegistries(t *testing.T) {
	local, remote := NewRegistry(), NewRegistry()
	local.RecordCrash(7, now, now)
	remote.Merge(local.Report(now), now)
	remote.RecordSuccess(7, now)
	local.Merge(remote.Report(now), now)
	if local.Crashes(7, now) != 0 || remote.Crashes(7, now) != 0 {
		t.Error("the request is still suspect")
	}
}

func TestReportingDoesNotExtendRetention(t *testing.T) {
	local, remote := NewRegistry(), NewRegistry()
	local.RecordCrash(7, now, now)
	later := now.Add(retention - time.Second)
	remote.Merge(local.Report(later), later)
	expired := now.Add(retention + 2*time.Second)
	if remote.Crashes(7, later) != 1 || remote.Crashes(7, expired) != 0 || remote.Report(expired) != nil {
		t.Error("forwarding a report extended its retention")
	}
}

func TestRegistryAndReportsAreBounded(t *testing.T) {
	registry := NewRegistry()
	for fingerprint := range uint64(2 * maxEntries) {
		registry.RecordCrash(fingerprint, now, now.Add(time.Duration(fingerprint)))
	}
	report := registry.Report(now.Add(time.Second))
	if len(registry.entries) > maxEntries || len(report) > maxReportEntries {
		t.Errorf("%d entries, %d reported", len(registry.entries), len(report))
	}
	latest := func(s wire.SuspectReport) bool { return s.Fingerprint == 2*maxEntries-1 }
	if !slices.ContainsFunc(report, latest) {
		t.Error("the latest crash is not reported")
	}
}

func TestOneCrashCountsOnceForConcurrentRequests(t *testing.T) {
	registry := NewRegistry()
	for i := range 5 {
		registry.RecordCrash(7, now, now.Add(time.Duration(i+1)*time.Second))
	}
	if crashes := registry.Crashes(7, now.Add(time.Minute)); crashes != 1 {
		t.Errorf("%d crashes counted, want 1", crashes)
	}
	registry.RecordCrash(7, now.Add(time.Minute), now.Add(time.Minute))
	if crashes := registry.Crashes(7, now.Add(time.Minute)); crashes != 2 {
		t.Errorf("%d crashes counted after a second crash, want 2", crashes)
	}
}
