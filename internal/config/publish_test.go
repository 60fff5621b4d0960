package config

import (
	"strings"
	"testing"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

func TestFetchReturnsThePublishedSet(t *testing.T) {
	services := newTestPlatform(t)
	if _, err := Fetch(t.Context(), services, Head{}); !fault.Is(err, fault.NotFound) {
		t.Fatalf("before the first publication: %v", err)
	}
	for number := 1; number <= 3; number++ {
		head := mustPublish(t, services.publisher(), number, core.NewID())
		snapshot, err := Fetch(t.Context(), services, head)
		if err != nil || int(snapshot.Generation) != number || snapshot.Set.Services[0].Limits.Queue != number {
			t.Fatalf("generation %d: %v, %v", number, snapshot, err)
		}
	}
}

func TestInvalidSetIsNotPublished(t *testing.T) {
	services := newTestPlatform(t)
	set := validSet()
	set.Rules = nil
	if _, err := services.publisher().Publish(t.Context(), set, "one"); !fault.Is(err, fault.BadConfig) {
		t.Fatalf("got %v", err)
	}
	if head, _, err := ReadHead(t.Context(), services); err != nil || head.Generation != 0 {
		t.Fatalf("head %v, %v", head, err)
	}
}

// TestLostResponsesPublishAtMostOnce loses the request or the response of each write in turn, or delays the write. The
// publication is retried under its publish ID after another publication, and must take effect at most once.
func TestLostResponsesPublishAtMostOnce(t *testing.T) {
	for _, key := range []string{publicationPrefix, headKey, historyPrefix} {
		for _, injected := range []writeFault{lostRequest, lostResponse, delayedWrite} {
			for _, appliedFirst := range []bool{true, false} { // whether delayed writes are applied before the other publication
				publishWithFault(t, key, injected, appliedFirst)
			}
		}
	}
}

func publishWithFault(t *testing.T, key string, injected writeFault, appliedFirst bool) {
	t.Helper()
	services := newTestPlatform(t)
	mustPublish(t, services.publisher(), 1, "first")
	flaky := &flakyTables{Tables: services, chooseFault: func(written string) writeFault {
		if strings.HasPrefix(written, key) {
			return injected
		}
		return noFault
	}}
	head, err := Publisher{Tables: flaky, Objects: services}.Publish(t.Context(), numberedSet(2), "mine")
	if err == nil && head.Generation != 2 || err != nil && !fault.Is(err, fault.PlatformUnavailable) {
		t.Errorf("%s: %+v, %v", key, head, err)
	}
	if appliedFirst {
		flaky.applyDelayed(t.Context())
	}
	current, _, _ := ReadHead(t.Context(), services)
	if err == nil && current.PublishID != "mine" {
		t.Errorf("%s: accepted but not current: %+v", key, current)
	}
	otherHead := mustPublish(t, services.publisher(), 3, "other")
	flaky.applyDelayed(t.Context())
	retried, err := services.publisher().Publish(t.Context(), numberedSet(2), "mine")
	checkRetried(t, services, current, otherHead, retried, err)
}

// checkRetried checks a publication that was retried after another one. The retry must not publish the set a second time,
// and may be accepted as a new publication only if the first attempt had no effect.
func checkRetried(t *testing.T, services *testPlatform, current, otherHead, retried Head, err error) {
	t.Helper()
	head, _, readErr := ReadHead(t.Context(), services)
	if readErr != nil {
		t.Fatal(readErr)
	}
	count := 0
	heads, readErr := History(t.Context(), services, 10)
	if readErr != nil {
		t.Fatal(readErr)
	}
	for _, accepted := range heads {
		if accepted.PublishID == "mine" {
			count++
		}
	}
	if count > 1 || int(head.Generation) != len(heads) {
		t.Errorf("published %d times: %+v", count, heads)
	}
	if current.PublishID == "mine" && (err != nil || retried != current || head != otherHead) {
		t.Errorf("retried: %+v, %v; head %+v", retried, err, head)
	}
	conflict, isConflict := fault.FindCause[*ConflictError](err)
	if err != nil && (!isConflict || conflict.Winner != otherHead || count != 0) {
		t.Errorf("conflict %v, published %d times", err, count)
	}
}

func TestConflictNamesTheAcceptedPublication(t *testing.T) {
	services := newTestPlatform(t)
	mustPublish(t, services.publisher(), 1, "first")
	racing := &flakyTables{Tables: services}
	racing.chooseFault = func(key string) writeFault {
		if key == headKey {
			winner := Publication{Set: numberedSet(2), ID: "theirs", By: "ana"}
			if _, err := services.publisher().Commit(t.Context(), winner); err != nil {
				t.Error(err)
			}
		}
		return noFault
	}
	_, err := Publisher{Tables: racing, Objects: services}.Publish(t.Context(), numberedSet(3), "mine")
	conflict, isConflict := fault.FindCause[*ConflictError](err)
	if !isConflict || conflict.Base != 1 || conflict.Winner.Generation != 2 || conflict.Winner.By != "ana" {
		t.Fatalf("got %v", err)
	}
	if !fault.Is(err, fault.Conflict) || !strings.Contains(err.Error(), "generation 2 was accepted from ana (publication theirs)") {
		t.Fatalf("got %v", err)
	}
}

func TestChangeOfStaleSnapshotIsRejected(t *testing.T) {
	services := newTestPlatform(t)
	head := mustPublish(t, services.publisher(), 1, "first")
	snapshot, err := Fetch(t.Context(), services, head)
	if err != nil {
		t.Fatal(err)
	}
	mustPublish(t, services.publisher(), 2, "second")
	changed := snapshot.Set
	changed.FailureDomains[0].Out = true
	if _, err := services.publisher().Publish(t.Context(), changed, "stale"); !fault.Is(err, fault.Conflict) {
		t.Fatalf("a change of an outdated snapshot was not rejected: %v", err)
	}
}

func TestPublishIDIsBoundToItsSet(t *testing.T) {
	services := newTestPlatform(t)
	mustPublish(t, services.publisher(), 1, "same")
	if _, err := services.publisher().Publish(t.Context(), numberedSet(2), "same"); !fault.Is(err, fault.Conflict) {
		t.Fatalf("got %v", err)
	}
}

// TestHistorySurvivesCrashes makes every other publisher crash after it wrote the head and before it writes the history
// row.
func TestHistorySurvivesCrashes(t *testing.T) {
	services := newTestPlatform(t)
	const generations = 205 // more than two pages of history rows
	flaky := &flakyTables{Tables: services}
	for number := 1; number <= generations; number++ {
		headWritten := false
		flaky.chooseFault = func(key string) writeFault {
			headWritten = headWritten || key == headKey
			if headWritten && key != headKey && number%2 == 0 {
				return lostRequest
			}
			return noFault
		}
		mustPublish(t, Publisher{Tables: flaky, Objects: services}, number, core.NewID())
	}
	heads, err := History(t.Context(), services, generations+10)
	if err != nil || len(heads) != generations {
		t.Fatalf("%d heads, %v", len(heads), err)
	}
	for i, head := range heads {
		if int(head.Generation) != generations-i {
			t.Fatalf("index %d has generation %d", i, head.Generation)
		}
	}
	if newest, err := History(t.Context(), services, 3); err != nil || len(newest) != 3 || newest[2] != heads[2] {
		t.Fatalf("%v, %v", newest, err)
	}
}

func TestPlatformFaults(t *testing.T) {
	services := newTestPlatform(t)
	first := mustPublish(t, services.publisher(), 1, "first")
	services.setFaults(`{"down":true}`)
	if _, err := services.publisher().Publish(t.Context(), numberedSet(2), "second"); !fault.Is(err, fault.PlatformUnavailable) || fault.Remedy(err) == "" {
		t.Fatalf("with the platform down: %v", err)
	}
	if head, _, err := ReadHead(t.Context(), services); !fault.Is(err, fault.PlatformUnavailable) {
		t.Fatalf("an outage was reported as head %+v: %v", head, err)
	}
	if heads, err := History(t.Context(), services, 1); !fault.Is(err, fault.PlatformUnavailable) {
		t.Fatalf("an outage was reported as history %v: %v", heads, err)
	}
	services.setFaults(`{"delay_ms":20}`)
	if head, _, err := ReadHead(t.Context(), services); err != nil || head != first {
		t.Fatalf("after the outage: %+v, %v", head, err)
	}
	second := mustPublish(t, services.publisher(), 2, "second")
	if second.Generation != 2 {
		t.Fatalf("slow platform: %+v", second)
	}
	services.setFaults(`{"lose_answers":true}`)
	if head, err := services.publisher().Publish(t.Context(), numberedSet(3), "third"); err != nil || head.Generation != 3 {
		t.Fatalf("with the response to every write lost: %+v, %v", head, err)
	}
	services.setFaults(`{}`)
	third := mustPublish(t, services.publisher(), 3, "third")
	if third.Generation != 3 {
		t.Fatalf("after lost responses: %+v", third)
	}
}
