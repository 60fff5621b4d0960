package quarantine

import (
	"slices"
	"strings"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Report is what one process tells another of crashes.
type Report struct {
	Crashes []AgedCrash `json:"crashes,omitempty"`
}

// AgedCrash is a crash with its age, as the clocks of processes differ.
type AgedCrash struct {
	Crash
	AgeMs int64 `json:"age_ms"`
}

// reportSince returns the crashes that have changed since the version, and the version that it includes.
func (l *Ledger) reportSince(version uint64) (Report, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.collect(func(r *record) bool { return r.version > version }), l.version
}

// accusing returns the crashes under parts that several crashes speak against, with only the suspects that have such a part, and the
// version that it includes.
func (l *Ledger) accusing() (Report, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	accused := make(map[core.PromptPart]bool)
	for part, e := range gather(l.shared()) {
		accused[part] = e.isAccused()
	}
	report := l.collect(func(*record) bool { return true })
	for i := range report.Crashes {
		crash := &report.Crashes[i]
		crash.Suspects = slices.DeleteFunc(slices.Clone(crash.Suspects), func(s Suspect) bool {
			return !slices.ContainsFunc(s.Parts, func(part core.PromptPart) bool { return accused[part] && crash.has(part) })
		})
		for i := range crash.Suspects {
			crash.Suspects[i].shorten(accused)
		}
	}
	report.Crashes = slices.DeleteFunc(report.Crashes, func(crash AgedCrash) bool { return len(crash.Suspects) == 0 })
	return report, l.version
}

// takeOwn returns the crashes that this process has seen or cleared parts of since the last call.
func (l *Ledger) takeOwn() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.collect(func(r *record) bool { return r.own })
	for _, r := range l.records {
		r.own = false
	}
	return report
}

// collect returns the crashes that the condition selects. The caller holds l.mu.
func (l *Ledger) collect(selects func(*record) bool) Report {
	var report Report
	now := l.now()
	for _, r := range l.records {
		if selects(r) {
			crash := r.Crash
			crash.Cleared = slices.Clone(r.Cleared)
			report.Crashes = append(report.Crashes, AgedCrash{Crash: crash, AgeMs: (now - r.at).Milliseconds()})
		}
	}
	return report
}

// merge takes over what is new in a report of another process, and returns whether anything was.
func (l *Ledger) merge(report Report) bool { return l.mergeReported(report, false) }

// mergeReported is merge for a report that this process has to pass on to the delegates if passOn is set.
func (l *Ledger) mergeReported(report Report, passOn bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, theirs := range report.Crashes {
		if !l.mergeCrash(theirs) {
			continue
		}
		changed = true
		if i := slices.IndexFunc(l.records, func(r *record) bool { return r.ID == theirs.ID }); passOn && i >= 0 {
			l.records[i].own = true
		}
	}
	if changed {
		l.update()
	}
	return changed
}

// mergeCrash takes over one crash and returns whether anything of it was new. The caller holds l.mu.
func (l *Ledger) mergeCrash(theirs AgedCrash) bool {
	age := time.Duration(theirs.AgeMs) * time.Millisecond
	i := slices.IndexFunc(l.records, func(r *record) bool { return r.ID == theirs.ID })
	if i < 0 {
		if age > crashRetention {
			return false
		}
		l.add(&record{Crash: theirs.Crash, at: l.localTime(theirs.Crash, age)})
		return true
	}
	changed := false
	if r := l.records[i]; r.Engine == "" && theirs.Engine != "" { // known so far through an older process, which drops it
		r.Engine, r.Recorded, r.Suspects = theirs.Engine, theirs.Recorded, theirs.Suspects
		r.version = l.version + 1
		changed = true
	}
	for _, part := range theirs.Cleared {
		if r := l.records[i]; !slices.Contains(r.Cleared, part) {
			r.Cleared = append(slices.Clip(r.Cleared), part)
			r.version = l.version + 1
			changed = true
		}
	}
	return changed
}

// localTime returns when another process recorded a crash of the age, by this process's clock. Crashes of one reporter keep their
// distances, however long each report took. The caller holds l.mu.
func (l *Ledger) localTime(crash Crash, age time.Duration) time.Duration {
	for _, r := range l.records {
		if crash.Recorded > 0 && r.Recorded > 0 && r.ID.origin() == crash.ID.origin() {
			return r.at + crash.Recorded - r.Recorded
		}
	}
	return l.now() - age
}

// origin returns the prefix of the ids of crashes that the same process has seen.
func (id CrashID) origin() string { return string(id[:strings.LastIndex(string(id), "/")+1]) }

// waitForChange returns a channel that is closed at the next change after the version; it is closed already if there was one.
func (l *Ledger) waitForChange(version uint64) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version == version {
		return l.changed
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}
