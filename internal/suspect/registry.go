// Package suspect tracks requests that were running when an endpoint crashed, by the fingerprint of their content.
// Merging reports is commutative and idempotent, so they can be attached to other messages in any order.
package suspect

import (
	"slices"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/wire"
)

// MaxCrashes is the number of crashes at which a request is refused.
const MaxCrashes = 3

const (
	retention        = 10 * time.Minute // since the last change of an entry
	maxEntries       = 1024
	maxReportEntries = 8
)

// Registry holds the crash counts of suspect requests. It is bounded and safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	entries map[uint64]entry
}

type entry struct {
	report    wire.SuspectReport
	changedAt time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{entries: make(map[uint64]entry)} }

// Crashes returns the number of crashes since the request was last answered completely. It returns 0 if the last change
// of the count is older than retention.
func (r *Registry) Crashes(fingerprint uint64, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[fingerprint]
	if !ok || now.Sub(e.changedAt) > retention {
		return 0
	}
	return int(e.report.Crashes)
}

// RecordCrash counts a crash of an endpoint while it ran the request, which began at the given time. If that is before
// the last counted crash, the crash is taken for the same one. So the crash of a host or a failure domain that runs
// many equal requests counts once.
func (r *Registry) RecordCrash(fingerprint uint64, began, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.current(fingerprint, now)
	if next.Crashes > 0 && began.Before(r.entries[fingerprint].changedAt) {
		return
	}
	next.Crashes++
	r.put(next, now)
}

// RecordSuccess resets the crash count of a request that was answered completely, by starting a new round.
func (r *Registry) RecordSuccess(fingerprint uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.current(fingerprint, now)
	if next.Crashes == 0 {
		return
	}
	next.Round++
	next.Crashes = 0
	r.put(next, now)
}

// Merge adds the reports of another process, at most maxReportEntries of them.
func (r *Registry) Merge(reports []wire.SuspectReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports[:min(len(reports), maxReportEntries)] {
		changedAt := now.Add(-time.Duration(report.AgeS) * time.Second)
		if now.Sub(changedAt) <= retention && supersedes(report, r.current(report.Fingerprint, now)) {
			r.put(report, changedAt)
		}
	}
}

// Report returns the most recently changed entries, at most maxReportEntries of them.
func (r *Registry) Report(now time.Time) []wire.SuspectReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) == 0 {
		return nil
	}
	var recent []entry
	for _, e := range r.entries {
		if now.Sub(e.changedAt) <= retention {
			recent = append(recent, e)
		}
	}
	slices.SortFunc(recent, compareLatestFirst)
	var reports []wire.SuspectReport
	for _, e := range recent[:min(len(recent), maxReportEntries)] {
		e.report.AgeS = uint32(now.Sub(e.changedAt) / time.Second)
		reports = append(reports, e.report)
	}
	return reports
}

func compareLatestFirst(a, b entry) int { return b.changedAt.Compare(a.changedAt) }

// supersedes reports whether a replaces b: it has a higher round, or more crashes in the same round.
func supersedes(a, b wire.SuspectReport) bool {
	if a.Round != b.Round {
		return a.Round > b.Round
	}
	return a.Crashes > b.Crashes
}

func (r *Registry) current(fingerprint uint64, now time.Time) wire.SuspectReport {
	e, ok := r.entries[fingerprint]
	if !ok || now.Sub(e.changedAt) > retention {
		return wire.SuspectReport{Fingerprint: fingerprint}
	}
	return e.report
}

func (r *Registry) put(report wire.SuspectReport, changedAt time.Time) {
	r.entries[report.Fingerprint] = entry{report: report, changedAt: changedAt}
	if len(r.entries) > maxEntries {
		r.evictOldest()
	}
}

func (r *Registry) evictOldest() {
	var oldest uint64
	var oldestTime time.Time
	for fingerprint, e := range r.entries {
		if oldestTime.IsZero() || e.changedAt.Before(oldestTime) {
			oldest, oldestTime = fingerprint, e.changedAt
		}
	}
	delete(r.entries, oldest)
}
