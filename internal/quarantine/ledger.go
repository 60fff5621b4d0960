package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// record is a crash as this process knows it.
type record struct {
	Crash
	at      time.Duration // by this process's clock
	version uint64        // of the ledger at the last change
	own     bool          // changed by this process and not yet told to the delegates
	// answered holds parts that an answer here clears, and that others are not told of while they are not watched.
	answered map[core.PromptPart]bool
}

// clear makes a cleared part known to the other processes with the given version of the ledger.
func (r *record) clear(part core.PromptPart, version uint64) {
	r.Cleared = append(slices.Clip(r.Cleared), part)
	r.own, r.version = true, version
}

// effective returns the crash without the parts that were answered here.
func (r *record) effective() *Crash {
	if len(r.answered) == 0 {
		return &r.Crash
	}
	crash := r.Crash
	crash.Cleared = slices.AppendSeq(slices.Clone(r.Cleared), maps.Keys(r.answered))
	return &crash
}

// Ledger holds what a process knows of crashes and the parts that it has quarantined. It is safe for concurrent use.
type Ledger struct {
	origin string // prefix of the ids of crashes that this process has seen
	now    func() time.Duration
	// OnVerdict, if set, is called with each part that is quarantined or no longer is. It must not block or use the ledger.
	OnVerdict func(part core.PromptPart, quarantined bool, crashes int)

	mu       sync.Mutex
	proven   provenParts
	records  []*record // oldest first
	verdicts map[core.PromptPart]*verdict
	watched  map[core.PromptPart]bool // parts of which answers matter: suspect ones, and those that one more crash would quarantine
	suspect  map[core.PromptPart]bool // parts under which minCrashes engines have ended, one after another or together
	judgeAt  time.Duration            // when the next crash begins or ceases to count; 0 for none
	seen     int                      // crashes that this process has seen
	version  uint64                   // rises with each change
	changed  chan struct{}            // closed and replaced at each change
}

// NewLedger returns an empty ledger of the host. Its clock must count the time in which the machine is suspended.
func NewLedger(host core.HostID, now func() time.Duration) *Ledger {
	origin := string(host) + "/" + strconv.FormatUint(rand.Uint64(), 36) + "/"
	return &Ledger{origin: origin, now: now, proven: newProvenParts(), verdicts: make(map[core.PromptPart]*verdict), version: 1, changed: make(chan struct{})}
}

// RecordCrash records a crash of the engine that this process has seen, with the requests that the engine had just begun to answer
// or not yet. The engine is "" if it is not known which one ended.
func (l *Ledger) RecordCrash(engine Incarnation, suspects []Suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen++
	now := l.now()
	crash := Crash{ID: CrashID(l.origin + strconv.Itoa(l.seen)), Engine: engine, Recorded: now, Suspects: bounded(suspects, &l.proven)}
	l.add(&record{Crash: crash, at: now, own: true})
	l.update()
}

// RecordAnswer records that an answer to a request with the parts was completed, or has gone on for long enough that the request
// cannot crash its engine by being begun.
func (l *Ledger) RecordAnswer(parts []core.PromptPart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proven.add(parts)
	accused := copied(l.accused(parts))
	cleared := false
	for _, r := range l.records {
		for _, part := range accused {
			switch {
			case !r.has(part) || r.answered[part]:
			case l.watched[part]:
				r.clear(part, l.version+1)
				cleared = true
			default:
				if r.answered == nil {
					r.answered = make(map[core.PromptPart]bool)
				}
				r.answered[part] = true
			}
		}
	}
	if cleared {
		l.update()
	}
}

// accused returns those of the parts that a crash may speak against. The caller holds l.mu.
func (l *Ledger) accused(parts []core.PromptPart) []core.PromptPart {
	var accused []core.PromptPart
	for _, part := range parts {
		if _, known := l.watched[part]; known {
			accused = append(accused, part)
		}
	}
	return accused
}

// Blocked returns the quarantined parts among the parts.
func (l *Ledger) Blocked(parts []core.PromptPart) []core.PromptPart {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.judgeIfDue()
	var blocked []core.PromptPart
	for _, part := range parts {
		if l.verdicts[part] != nil {
			blocked = append(blocked, part)
		}
	}
	return blocked
}

// SuspectOf returns the part, of those that PartsOf returned, under which as many engines have ended as a quarantine takes, without an
// answer since: one that stands for the whole request before shared ones. It may have crashed them although too few of their ends count.
// It returns "" if there is none.
func (l *Ledger) SuspectOf(parts []core.PromptPart) core.PromptPart {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, part := range slices.Backward(parts) { // the identity, by which most requests are found, comes first
		if l.suspect[part] {
			return part
		}
	}
	return ""
}

// TakeTrial returns true if a request with the blocked part may pass now to find out whether the part still crashes engines. Only
// one process of a deployment may use it for a part.
func (l *Ledger) TakeTrial(part core.PromptPart) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.verdicts[part]
	if v == nil || !v.mayTry(l.now()) {
		return false
	}
	v.trials++
	return true
}

// ReturnTrial takes back a trial whose request reached no engine.
func (l *Ledger) ReturnTrial(part core.PromptPart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.verdicts[part]; v != nil && v.trials > 0 {
		v.trials--
	}
}

// add adds a record. The caller holds l.mu and calls update.
func (l *Ledger) add(r *record) {
	r.version = l.version + 1
	l.records = append(l.records, r)
	if len(l.records) > maxCrashes {
		oldest := max(0, slices.IndexFunc(l.records, func(r *record) bool { return !l.supportsVerdict(r) }))
		l.records = slices.Delete(l.records, oldest, oldest+1)
	}
}

// supportsVerdict reports whether the crash speaks against a quarantined part. The caller holds l.mu.
func (l *Ledger) supportsVerdict(r *record) bool {
	for part := range l.verdicts {
		if r.has(part) {
			return true
		}
	}
	return false
}

// update judges anew and wakes those that wait for a change. The caller holds l.mu.
func (l *Ledger) update() {
	l.watch()
	l.version++
	close(l.changed)
	l.changed = make(chan struct{})
	l.judge()
}

// watch finds the parts of which answers matter, and clears those that were answered here for the other processes
// as well. The caller holds l.mu.
func (l *Ledger) watch() {
	l.watched, l.suspect = make(map[core.PromptPart]bool), make(map[core.PromptPart]bool)
	for part, e := range gather(l.shared()) {
		l.watched[part] = e.count() >= minCrashes-1 || e.isRepeated() || e.isSuspect()
		if e.isSuspect() {
			l.suspect[part] = true
		}
	}
	for _, r := range l.records {
		for part := range r.answered {
			if l.watched[part] {
				delete(r.answered, part)
				r.clear(part, l.version+1)
			}
		}
	}
}

// shared returns the crashes as all processes know them, without the answers that only this one knows of. The caller holds l.mu.
func (l *Ledger) shared() []timedCrash {
	all := make([]timedCrash, 0, len(l.records))
	for _, r := range l.records {
		all = append(all, timedCrash{&r.Crash, r.at})
	}
	return all
}

func (l *Ledger) judgeIfDue() {
	if l.judgeAt > 0 && l.now() >= l.judgeAt {
		l.judge()
	}
}

// judge brings the verdicts up to date with the crashes that are old enough. The caller holds l.mu.
func (l *Ledger) judge() {
	now := l.now()
	l.records = slices.DeleteFunc(l.records, func(r *record) bool { return now-r.at > crashRetention })
	l.judgeAt = 0
	var counted []timedCrash
	for _, r := range l.records {
		due := r.at + verdictDelay
		if now >= due {
			counted = append(counted, timedCrash{r.effective(), r.at})
			due = r.at + crashRetention + 1
		}
		if l.judgeAt == 0 || due < l.judgeAt {
			l.judgeAt = due
		}
	}
	found := offenders(counted)
	all := gather(counted)
	for _, part := range found {
		if l.verdicts[part] == nil {
			l.verdicts[part] = newVerdict(all[part])
			l.report(part, true, all[part].count())
		}
		l.verdicts[part].update(all[part])
	}
	for part := range l.verdicts {
		if !slices.Contains(found, part) {
			delete(l.verdicts, part)
			l.report(part, false, 0)
		}
	}
}

func (l *Ledger) report(part core.PromptPart, quarantined bool, crashes int) {
	if l.OnVerdict != nil {
		l.OnVerdict(part, quarantined, crashes)
	}
}

// Crashes returns the number of crashes that count or soon will.
func (l *Ledger) Crashes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}
