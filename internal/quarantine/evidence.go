// Package quarantine finds parts of prompts that crash the engines that begin to answer them, and keeps requests with such a
// part away from engines. Processes that see a crash or a complete answer tell the others through the delegates of the store's
// readers.
package quarantine

import (
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	// minCrashes is the number of crashes after which a part is quarantined if no answer to a request with it was completed
	// since.
	minCrashes = 3
	// minProvenCrashes is the same for a part with which answers were completed before, such as the first part of most prompts. It
	// has to explain crashes that no other part does.
	minProvenCrashes = 2 * minCrashes
	// verdictDelay is the age from which a crash counts. Answers that are completed at other engines meanwhile clear the parts
	// that they share with the crashed requests.
	verdictDelay = 300 * time.Millisecond
	// simultaneity is the time within which crashes of several engines count as one. Requests crash engines one after another; a
	// common cause, such as the loss of a rack, ends many at the same moment.
	simultaneity = 100 * time.Millisecond
	// crashRetention is how long a crash counts.
	crashRetention = time.Hour
	// maxCrashes bounds the crashes that are kept. The oldest of those that no quarantine rests on is dropped.
	maxCrashes = 64
	// maxSuspects bounds the requests that are kept of one crash.
	maxSuspects = 16
)

// CrashID identifies a crash of an engine.
type CrashID string

// Suspect is a request that an engine had just begun to answer, or not yet, when it crashed.
type Suspect struct {
	Request core.RequestID    `json:"r"`
	Parts   []core.PromptPart `json:"p"`           // that other requests may have too, in order
	Proven  []core.PromptPart `json:"k,omitempty"` // parts with which an answer was completed before, as far as the reporter knows
	Sent    time.Duration     `json:"s,omitempty"` // when it was sent to the engine, by the reporter's clock
	Broke   time.Duration     `json:"b,omitempty"` // when its answer broke off, by the reporter's clock
	Omits   Omission          `json:"o,omitempty"` // shared parts that are not listed
}

// Crash is a crash of an engine.
type Crash struct {
	ID       CrashID           `json:"id"`
	Engine   Incarnation       `json:"e,omitempty"` // that ended; "" if its reporter cannot tell
	Recorded time.Duration     `json:"t,omitempty"` // by the reporter's clock
	Suspects []Suspect         `json:"s"`
	Cleared  []core.PromptPart `json:"c,omitempty"` // parts of which an answer was completed since
}

// timedCrash is a crash and when it happened, by this process's clock.
type timedCrash struct {
	*Crash
	at time.Duration
}

// has reports whether the part is under suspicion because of the crash.
func (c *Crash) has(part core.PromptPart) bool {
	return !slices.Contains(c.Cleared, part) && slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return slices.Contains(s.Parts, part) })
}

// evidence is what speaks against one part.
type evidence struct {
	whole    bool            // the part stands for a whole request
	times    []time.Duration // of the crashes
	requests map[core.RequestID]bool
	endings  map[Incarnation]*ending
	depth    int  // the part's position in prompts; parts behind it are shared by fewer requests
	proven   bool // an answer with the part was completed before
}

// separate returns the times of the crashes in order, without those that prove no more than an earlier one.
func (e *evidence) separate() []time.Duration {
	if e.whole {
		return e.separateEndings()
	}
	if e.proven {
		return e.resumedEndings()
	}
	slices.Sort(e.times)
	var separate []time.Duration
	for _, at := range e.times {
		if len(separate) == 0 || at-separate[len(separate)-1] > simultaneity {
			separate = append(separate, at)
		}
	}
	return separate
}

// count returns the number of crashes that count. Of those under a shared part, those under one request id count once, but twice against
// a part that was answered before: it takes as many requests as another part, each of which has ended an engine and the one that it was
// resumed at.
func (e *evidence) count() int {
	switch {
	case e.whole:
		return len(e.separateEndings())
	case e.proven:
		return min(len(e.separate()), minProvenCrashes/minCrashes*len(e.requests))
	}
	return min(len(e.separate()), len(e.requests))
}

// offenders returns the parts that the crashes speak against. Parts with which no answer was ever completed are taken first, of
// these the one with the most evidence, and of equal ones the one that fewest requests share. The crashes that it explains do not
// count against others.
func offenders(crashes []timedCrash) []core.PromptPart {
	var found []core.PromptPart
	for {
		part := strongest(crashes)
		if part == "" {
			return found
		}
		found = append(found, part)
		crashes = withoutExplained(crashes, part)
	}
}

// withoutExplained returns the crashes without those that the part explains, whoever saw them.
func withoutExplained(crashes []timedCrash, part core.PromptPart) []timedCrash {
	ended := make(map[Incarnation]bool)
	for _, c := range crashes {
		if c.Engine != "" && c.has(part) {
			ended[c.Engine] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(crashes), func(c timedCrash) bool { return c.has(part) || ended[c.Engine] })
}

// strongest returns the part with the most evidence, or "" if there is too little against each.
func strongest(crashes []timedCrash) core.PromptPart {
	var best core.PromptPart
	all := gather(crashes)
	for part, e := range all {
		if e.isEnough() && (best == "" || e.isStronger(all[best]) || !all[best].isStronger(e) && part < best) {
			best = part
		}
	}
	return best
}

// isEnough reports whether the evidence suffices for a quarantine.
func (e *evidence) isEnough() bool { return e.count() >= e.needed() }

// needed returns the number of crashes that suffice for a quarantine.
func (e *evidence) needed() int {
	if e.proven {
		return minProvenCrashes
	}
	return minCrashes
}

// isAccused reports whether one more crash at most would quarantine the part, or it is a whole request under which several engines
// have ended.
func (e *evidence) isAccused() bool { return e.isRepeated() || e.count()+1 >= e.needed() }

// isRepeated reports whether the evidence is of a whole request under which several engines have ended, at the same time or not.
func (e *evidence) isRepeated() bool { return e.whole && len(e.endings) > 1 }

// isSuspect reports whether as many engines have ended under the part as a quarantine takes. They need not count: engines that end
// together under requests sent together have one cause, which may be the requests. Requests often share parts that were answered before.
func (e *evidence) isSuspect() bool { return len(e.endings) >= minCrashes && (e.whole || !e.proven) }

// isStronger reports whether the evidence is stronger than other evidence that suffices.
func (e *evidence) isStronger(other *evidence) bool {
	switch {
	case e.proven != other.proven:
		return other.proven
	case e.count() != other.count():
		return e.count() > other.count()
	}
	return e.depth > other.depth
}

// gather returns the evidence against each part that is not cleared.
func gather(crashes []timedCrash) map[core.PromptPart]*evidence {
	all := make(map[core.PromptPart]*evidence)
	for _, crash := range crashes {
		seen := make(map[core.PromptPart]bool)
		for _, suspect := range crash.Suspects {
			for depth, part := range suspect.Parts {
				if slices.Contains(crash.Cleared, part) || !suspect.accuses(part) {
					continue
				}
				e := all[part]
				if e == nil {
					e = &evidence{whole: isWholeRequest(part), requests: make(map[core.RequestID]bool), endings: make(map[Incarnation]*ending)}
					all[part] = e
				}
				e.addEnding(crash, suspect)
				if !seen[part] {
					seen[part] = true
					e.times = append(e.times, crash.at)
				}
				e.requests[suspect.Request] = true
				e.proven = e.proven || slices.Contains(suspect.Proven, part)
				e.depth = max(e.depth, depth)
			}
		}
	}
	return all
}
