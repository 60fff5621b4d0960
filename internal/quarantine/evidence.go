// Package quarantine finds parts of prompts that crash the engines that begin to answer them, and keeps requests with such a
// part away from engines. Processes that see a crash or a complete answer tell the others through the delegates of the store's
// readers.
package quarantine

import (
	"math"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

const (
	// minCrashes is the number of crashes after which a part is quarantined if no answer to a request with it was completed
	// since.
	minCrashes = 3
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
	Parts   []core.PromptPart `json:"p"` // that other requests may have too, in order
}

// Crash is a crash of an engine.
type Crash struct {
	ID       CrashID           `json:"id"`
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
	times    []time.Duration // of the crashes
	requests map[core.RequestID]bool
	depth    int // the part's position in prompts; parts behind it are shared by fewer requests
}

// count returns the number of crashes, of which simultaneous ones and those under one repeated request count once.
func (e *evidence) count() int {
	slices.Sort(e.times)
	separate := 0
	last := time.Duration(math.MinInt64 / 2)
	for _, at := range e.times {
		if at-last > simultaneity {
			separate++
			last = at
		}
	}
	return min(separate, len(e.requests))
}

// offenders returns the parts that the crashes speak against. The part with the most evidence is taken first, and of equal ones
// the one that fewest requests share. The crashes that it explains do not count against others.
func offenders(crashes []timedCrash) []core.PromptPart {
	var found []core.PromptPart
	for {
		part := strongest(crashes)
		if part == "" {
			return found
		}
		found = append(found, part)
		crashes = slices.DeleteFunc(slices.Clone(crashes), func(c timedCrash) bool { return c.has(part) })
	}
}

// strongest returns the part with the most evidence, or "" if there is too little against each.
func strongest(crashes []timedCrash) core.PromptPart {
	var best core.PromptPart
	all := gather(crashes)
	for part, e := range all {
		if e.count() < minCrashes {
			continue
		}
		b := all[best]
		if b == nil || e.count() > b.count() || e.count() == b.count() && (e.depth > b.depth || e.depth == b.depth && part < best) {
			best = part
		}
	}
	return best
}

// gather returns the evidence against each part that is not cleared.
func gather(crashes []timedCrash) map[core.PromptPart]*evidence {
	all := make(map[core.PromptPart]*evidence)
	for _, crash := range crashes {
		seen := make(map[core.PromptPart]bool)
		for _, suspect := range crash.Suspects {
			for depth, part := range suspect.Parts {
				if slices.Contains(crash.Cleared, part) {
					continue
				}
				e := all[part]
				if e == nil {
					e = &evidence{requests: make(map[core.RequestID]bool)}
					all[part] = e
				}
				if !seen[part] {
					seen[part] = true
					e.times = append(e.times, crash.at)
				}
				e.requests[suspect.Request] = true
				e.depth = max(e.depth, depth)
			}
		}
	}
	return all
}
