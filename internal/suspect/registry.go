// Package suspect remembers requests that were running when an endpoint crashed, by the fingerprint of their content.
// Reports merge in any order and any number of times to the same result, so they can travel with other messages.
package suspect

import (
	"slices"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/wire"
)

// MaxCrashes is the number of crashes after which a request is refused.
const MaxCrashes = 3

const (
	memory     = 10 * time.Minute // after the last news of a request
	maxEntries = 1024
	maxReport  = 8 // requests in one report
)

// Registry holds what is heard of suspect requests. It is bounded, and safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	entries map[uint64]entry
}

type entry struct {
	suspicion wire.Suspicion
	changed   time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{entries: make(map[uint64]entry)} }

// Crashes returns the crashes since the request's last whole answer.
func (r *Registry) Crashes(fingerprint uint64, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.entries[fingerprint]
	if !ok || now.Sub(known.changed) > memory {
		return 0
	}
	return int(known.suspicion.Crashes)
}

// Crashed counts a crash of an endpoint that ran the request since it began. What began before the last crash that was
// counted fell to that one, so that a host or a failure domain that ends under many equal requests counts once.
func (r *Registry) Crashed(fingerprint uint64, began, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.current(fingerprint, now)
	if next.Crashes > 0 && began.Before(r.entries[fingerprint].changed) {
		return
	}
	next.Crashes++
	r.put(next, now)
}

// Answered begins a new round for a request that was answered whole.
func (r *Registry) Answered(fingerprint uint64, now time.Time) {
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

// Merge takes over what another process has heard.
func (r *Registry) Merge(reports []wire.Suspicion, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports[:min(len(reports), maxReport)] {
		changed := now.Add(-time.Duration(report.AgeS) * time.Second)
		if now.Sub(changed) <= memory && newer(report, r.current(report.Fingerprint, now)) {
			r.put(report, changed)
		}
	}
}

// Report returns the latest news.
func (r *Registry) Report(now time.Time) []wire.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.entries) == 0 {
		return nil
	}
	var live []entry
	for _, known := range r.entries {
		if now.Sub(known.changed) <= memory {
			live = append(live, known)
		}
	}
	slices.SortFunc(live, latestFirst)
	var report []wire.Suspicion
	for _, known := range live[:min(len(live), maxReport)] {
		known.suspicion.AgeS = uint32(now.Sub(known.changed) / time.Second)
		report = append(report, known.suspicion)
	}
	return report
}

func latestFirst(a, b entry) int { return b.changed.Compare(a.changed) }

func newer(a, b wire.Suspicion) bool {
	if a.Round != b.Round {
		return a.Round > b.Round
	}
	return a.Crashes > b.Crashes
}

func (r *Registry) current(fingerprint uint64, now time.Time) wire.Suspicion {
	known, ok := r.entries[fingerprint]
	if !ok || now.Sub(known.changed) > memory {
		return wire.Suspicion{Fingerprint: fingerprint}
	}
	return known.suspicion
}

func (r *Registry) put(suspicion wire.Suspicion, now time.Time) {
	r.entries[suspicion.Fingerprint] = entry{suspicion: suspicion, changed: now}
	if len(r.entries) > maxEntries {
		r.dropOldest()
	}
}

func (r *Registry) dropOldest() {
	var oldest uint64
	var since time.Time
	for fingerprint, known := range r.entries {
		if since.IsZero() || known.changed.Before(since) {
			oldest, since = fingerprint, known.changed
		}
	}
	delete(r.entries, oldest)
}
