package follow

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

// A store that is restored from a copy has lost its last seconds: an evacuation or the departure of an endpoint may be
// missing until it is written again. What this process knew of them stays in force for some time.
const (
	// evacuationRetention is how long an evacuation that the copy lacks stays in force, unless it is written again before.
	evacuationRetention = 10 * time.Second
	// departureRetention is how long an endpoint that has left is not used although the copy lists it. By then the registry
	// has removed entries that are not written again.
	departureRetention = 15 * time.Second
)

// restored holds what a process keeps in force after a restore of the store. It is part of the reducer's state.
type restored struct {
	operatorEra uint64 // of the last read of each table; 0 if unknown
	endpointEra uint64
	evacuations map[core.FailureDomain]time.Duration // kept although the copy lacks them, with the end of the retention
	departures  map[catalog.EndpointID]departure
	endpointsAt time.Duration // when the registry was first read after its last restore
	hasRestore  bool          // endpointsAt is set
}

// departure records that an endpoint left.
type departure struct {
	born int64 // of the incarnation that left
	gone bool  // its entry was removed; otherwise it said that it was draining
	at   time.Duration
}

// logRestore is the effect that logs the first read of a table after a restore.
type logRestore struct {
	reduce.IsEffect
	table       string
	era, before uint64
	kept        int // evacuations that the copy lacks, or departures, that stay in force for now
}

func newRestored() restored {
	return restored{evacuations: make(map[core.FailureDomain]time.Duration), departures: make(map[catalog.EndpointID]departure)}
}

// keepEvacuations adds to a read of the operators' table the evacuations that stay in force after a restore.
func (s *state) keepEvacuations(event *operatorRead) {
	kept := s.restored.evacuations
	for domain := range event.changes.Evacuations {
		delete(kept, domain) // written since, or part of the copy
	}
	before, era := s.restored.operatorEra, event.changes.Cursor.Era
	if eraRose(before, era) {
		for domain := range s.evacuated {
			if !event.changes.Evacuations[domain] {
				kept[domain] = event.sentAt + evacuationRetention
			}
		}
		s.emit(logRestore{table: tableOperators, era: era, before: before, kept: len(kept)})
	}
	s.restored.operatorEra = max(before, era)
	if len(kept) == 0 {
		return
	}
	evacuations := make(map[core.FailureDomain]bool, len(kept)+len(event.changes.Evacuations))
	for domain, active := range event.changes.Evacuations {
		evacuations[domain] = active
	}
	for domain, until := range kept {
		evacuations[domain] = event.sentAt < until
		if event.sentAt >= until {
			delete(kept, domain)
		}
	}
	event.changes.Evacuations = evacuations
}

// keepDepartures corrects a complete read of the registry after a restore: the copy may list endpoints that have left since.
// Entries that the copy lacks count as lapsed in an outage, since their endpoints write them again.
func (s *state) keepDepartures(event *endpointsRead) {
	r := &s.restored
	before, era := r.endpointEra, event.changes.Cursor.Era
	if eraRose(before, era) {
		r.endpointsAt, r.hasRestore = event.receivedAt, true
		event.changes.AfterOutage = true
	}
	r.endpointEra = max(before, era)
	r.dropOldDepartures(event.receivedAt)
	if !event.changes.Full {
		for _, endpoint := range event.changes.Present {
			delete(r.departures, endpoint.ID) // it has written since
		}
		return
	}
	listed := len(event.changes.Present)
	event.changes.Present = r.withoutDeparted(event.changes.Present, event.receivedAt)
	if eraRose(before, era) {
		s.emit(logRestore{table: tableEndpoints, era: era, before: before, kept: listed - len(event.changes.Present)})
	}
}

// withoutDeparted returns the entries without those of endpoints that have gone. Endpoints that were draining still are.
func (r *restored) withoutDeparted(present []*catalog.Endpoint, now time.Duration) []*catalog.Endpoint {
	kept := make([]*catalog.Endpoint, 0, len(present))
	for _, endpoint := range present {
		left, known := r.departures[endpoint.ID]
		switch {
		case !known:
			kept = append(kept, endpoint)
		case left.born != endpoint.Born || !r.mayBeOlderThan(left, now):
			delete(r.departures, endpoint.ID)
			kept = append(kept, endpoint)
		case !left.gone:
			draining := *endpoint
			draining.Draining = true
			kept = append(kept, &draining)
		}
	}
	return kept
}

// mayBeOlderThan reports whether a complete read at the given time may hold the state from before the departure.
func (r *restored) mayBeOlderThan(left departure, now time.Duration) bool {
	return r.hasRestore && left.at <= r.endpointsAt && now < r.endpointsAt+departureRetention
}

// recordDeparture records that the endpoint is draining, or that its entry was removed.
func (r *restored) recordDeparture(endpoint *catalog.Endpoint, gone bool, now time.Duration) {
	if before, known := r.departures[endpoint.ID]; known && before.born == endpoint.Born && before.gone == gone {
		return
	}
	r.departures[endpoint.ID] = departure{born: endpoint.Born, gone: gone, at: now}
}

// dropOldDepartures drops departures that are older than any copy.
func (r *restored) dropOldDepartures(now time.Duration) {
	for id, left := range r.departures {
		if now-left.at > removalRetention {
			delete(r.departures, id)
		}
	}
}
