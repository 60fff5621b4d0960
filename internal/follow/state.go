package follow

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/reduce"
)

const (
	// outageThreshold is the time without a successful read, and with at least one failed read, after which the store
	// counts as unavailable. It is well below the three missed heartbeats after which the lease of a registry entry
	// expires.
	outageThreshold = 2 * time.Second
	// lapseGrace is how long entries are kept whose leases expired during an outage of the store. According to the
	// platform's page on discovery, live endpoints register again within about two seconds of the store's return. The
	// grace period ends before a machine that was cut off counts as connected again, three seconds after its return.
	lapseGrace = 2100 * time.Millisecond
	// maxReturnDelay is the longest time from the store's return until this process reads from it that the grace period comes
	// on top of. After a later read, the grace period is shorter.
	maxReturnDelay = 700 * time.Millisecond
)

// operatorRead is the event that the operators' table was read. Its times are on the boot clock.
type operatorRead struct {
	reduce.IsEvent
	sentAt         time.Duration                   // when the read was sent: it includes all changes up to then
	asOf           time.Duration                   // it also includes all changes up to this time if the store serves waiting reads promptly
	requestedTimes map[core.Model]time.Duration    // of a delegate of an earlier release: earliest possible time of the request for each wanted version; asOf if absent
	rollouts       map[core.Model]catalog.Rollouts // requested versions with their times; empty from sources that do not state them
	changes        OperatorChanges
}

// requestedAt returns the earliest possible time of the request for the model's wanted version.
func (r operatorRead) requestedAt(model core.Model) time.Duration {
	if requested, ok := r.requestedTimes[model]; ok {
		return requested
	}
	return r.asOf
}

// endpointsRead is the event that the registry was read. Its times are on the boot clock.
type endpointsRead struct {
	reduce.IsEvent
	sentAt     time.Duration // when the read was sent: it includes all changes up to then
	receivedAt time.Duration // when the response was received
	changes    EndpointChanges
}

// registryUnavailable is the event that the store did not answer a read of the registry.
type registryUnavailable struct {
	reduce.IsEvent
	at time.Duration // on the boot clock
}

// graceElapsed is the event that the time of a wakeAt effect has come.
type graceElapsed struct {
	reduce.IsEvent
	at time.Duration // on the boot clock
}

// wakeAt is the effect that posts graceElapsed at a time on the boot clock.
type wakeAt struct {
	reduce.IsEffect
	at time.Duration
}

// publishView is the effect that makes the view available to traffic.
type publishView struct {
	reduce.IsEffect
	view *catalog.View
}

// confirmAsOf is the effect that records the time up to which the view includes all operator changes.
type confirmAsOf struct {
	reduce.IsEffect
	asOf     time.Duration
	answered time.Duration // the same if the store serves waiting reads promptly
}

// confirmEndpointsAsOf is the effect that records the time up to which the view includes all changes of the registry.
type confirmEndpointsAsOf struct {
	reduce.IsEffect
	asOf time.Duration
}

// logOperatorChange is the effect that logs an operator change.
type logOperatorChange struct {
	reduce.IsEffect
	change  string
	name    string
	version int64
	since   time.Duration         // boot clock time from which a model version counts as requested
	source  catalog.RolloutSource // of since; "" for other changes
}

// logEndpointState is the effect that logs a new endpoint, a change of an endpoint's state, a lapsed entry that is kept, or a
// read of the complete registry.
type logEndpointState struct {
	reduce.IsEffect
	endpoint catalog.EndpointID // "" for the complete registry
	state    string
	count    int           // of entries in the complete registry
	keptFor  time.Duration // rest of the grace period of a lapsed entry
}

// state is the reducer's state.
type state struct {
	index            *catalog.Index
	evacuated        map[core.FailureDomain]bool
	wanted           map[core.Model]catalog.Rollouts
	endpoints        map[catalog.EndpointID]*catalog.Endpoint
	lapsed           map[catalog.EndpointID]time.Duration // endpoints kept although the registry no longer lists them, with the end of their grace period
	unavailableSince time.Duration                        // when the registry became unavailable during a grace period, which stops until it is back; 0 if it did not
	restored         restored                             // what is kept against an older copy of the store
	effects          []reduce.Effect
}

func newState() *state {
	return &state{
		evacuated: make(map[core.FailureDomain]bool),
		wanted:    make(map[core.Model]catalog.Rollouts),
		endpoints: make(map[catalog.EndpointID]*catalog.Endpoint),
		lapsed:    make(map[catalog.EndpointID]time.Duration),
		restored:  newRestored(),
	}
}

// step handles one event and returns the effects to perform.
func (s *state) step(event reduce.Event) []reduce.Effect {
	s.effects = nil
	switch event := event.(type) {
	case operatorRead:
		if eraRose(event.changes.Cursor.Era, s.restored.operatorEra) {
			return nil // sent before the store was restored
		}
		if s.applyOperator(event) {
			s.publish()
		}
		s.emit(confirmAsOf{asOf: event.sentAt, answered: event.asOf})
	case endpointsRead:
		if eraRose(event.changes.Cursor.Era, s.restored.endpointEra) {
			return nil
		}
		if s.applyEndpoints(event) {
			s.publish()
		}
		s.emit(confirmEndpointsAsOf{asOf: event.sentAt})
	case registryUnavailable:
		if len(s.lapsed) > 0 && s.unavailableSince == 0 {
			s.unavailableSince = event.at
		}
	case graceElapsed:
		if s.unavailableSince == 0 && len(s.removeLapsed(event.at)) > 0 {
			s.publish()
		}
	}
	return s.effects
}

func (s *state) emit(effect reduce.Effect) { s.effects = append(s.effects, effect) }

// publish emits a view of the current state.
func (s *state) publish() {
	endpoints := make([]*catalog.Endpoint, 0, len(s.endpoints))
	for _, endpoint := range s.endpoints {
		endpoints = append(endpoints, endpoint)
	}
	s.emit(publishView{view: catalog.NewView(s.index, maps.Clone(s.evacuated), maps.Clone(s.wanted), endpoints)})
}

// applyOperator applies a read of the operators' table and reports whether it changed the state.
func (s *state) applyOperator(event operatorRead) bool {
	s.keepEvacuations(&event)
	changed := s.applyConfiguration(event.changes.Configuration)
	changed = s.applyEvacuations(event.changes) || changed
	return s.applyRollouts(event) || changed
}

// applyConfiguration puts a configuration in force if it is newer, and reports whether it did.
func (s *state) applyConfiguration(next *catalog.Configuration) bool {
	if next == nil || s.index != nil && next.Version <= s.index.Configuration.Version {
		return false
	}
	s.index = catalog.NewIndex(next)
	s.emit(logOperatorChange{change: "configuration", version: next.Version})
	return true
}

// applyEvacuations applies changed evacuations and reports whether any differed. A full read ends all evacuations that
// it does not list.
func (s *state) applyEvacuations(changes OperatorChanges) bool {
	next := maps.Clone(s.evacuated)
	if changes.Full {
		clear(next)
	}
	for domain, active := range changes.Evacuations {
		if active {
			next[domain] = true
		} else {
			delete(next, domain)
		}
	}
	if maps.Equal(next, s.evacuated) {
		return false
	}
	s.evacuated = next
	for domain := range next {
		s.emit(logOperatorChange{change: "failure domain out", name: string(domain)})
	}
	return true
}

// applyEndpoints applies a read of the registry and reports whether the view may have changed. Entries that lapsed
// during an outage are kept until the grace period ends.
func (s *state) applyEndpoints(event endpointsRead) bool {
	s.keepDepartures(&event)
	s.resumeGrace(event.receivedAt, event.changes.ReturnedBefore)
	changes := event.changes
	gone := changes.Removed
	if changes.Full {
		s.emit(logEndpointState{state: "listed", count: len(changes.Present)})
		gone = slices.DeleteFunc(s.absentFrom(changes.Present), func(id catalog.EndpointID) bool { return slices.Contains(changes.Lapsed, id) })
	}
	for _, endpoint := range changes.Present {
		before := s.endpoints[endpoint.ID]
		if !changes.Full && (before == nil || before.Draining != endpoint.Draining) {
			s.emit(logEndpointState{endpoint: endpoint.ID, state: stateOf(endpoint)})
		}
		if endpoint.Draining {
			s.restored.recordDeparture(endpoint, false, event.receivedAt)
		}
		s.endpoints[endpoint.ID] = withColdUntil(endpoint, event.receivedAt)
		delete(s.lapsed, endpoint.ID)
	}
	for i, id := range changes.Lapsed {
		s.keepLapsed(id, event.receivedAt, changes.lapsedAge(i))
	}
	for _, id := range gone {
		if changes.AfterOutage {
			s.keepLapsed(id, event.receivedAt, changes.ReturnedBefore)
		} else {
			s.remove(id, event.receivedAt)
		}
	}
	removed := s.removeLapsed(event.receivedAt)
	return len(changes.Present)+len(gone)+len(changes.Lapsed)+len(removed) > 0
}

// keepLapsed keeps an endpoint that the registry no longer lists for the rest of a grace period that began the given time ago.
// A grace period that was known before is not extended.
func (s *state) keepLapsed(id catalog.EndpointID, now, begunBefore time.Duration) {
	if s.endpoints[id] == nil {
		return
	}
	until := now - begunBefore + lapseGrace
	if before, known := s.lapsed[id]; known {
		until = min(before, until)
	} else {
		s.emit(logEndpointState{endpoint: id, state: "lapsed", keptFor: until - now})
	}
	s.lapsed[id] = until
	s.emit(wakeAt{at: until})
}

// resumeGrace extends the grace periods by the time for which the registry was unavailable meanwhile, since endpoints could
// not register then. They end no later than a period that begins with its return, the given time ago at the earliest.
func (s *state) resumeGrace(now, returnedBefore time.Duration) {
	if s.unavailableSince == 0 {
		return
	}
	for id, until := range s.lapsed {
		s.lapsed[id] = min(until+now-s.unavailableSince, now-returnedBefore+lapseGrace)
		s.emit(wakeAt{at: s.lapsed[id]})
	}
	s.unavailableSince = 0
}

// removeLapsed removes the endpoints whose grace period has ended, and returns them.
func (s *state) removeLapsed(now time.Duration) (removed []catalog.EndpointID) {
	for id, until := range s.lapsed {
		if now >= until {
			removed = append(removed, id)
		}
	}
	for _, id := range removed {
		s.remove(id, now)
	}
	return removed
}

func (s *state) remove(id catalog.EndpointID, now time.Duration) {
	if s.endpoints[id] == nil {
		return
	}
	s.restored.recordDeparture(s.endpoints[id], true, now)
	s.emit(logEndpointState{endpoint: id, state: "gone"})
	delete(s.endpoints, id)
	delete(s.lapsed, id)
}

// withColdUntil returns the endpoint with the end of its cold start set on this process's boot clock. The entry may be
// older than the read, so the endpoint may count as cold for slightly too long.
func withColdUntil(endpoint *catalog.Endpoint, now time.Duration) *catalog.Endpoint {
	if endpoint.ColdFor <= 0 {
		return endpoint
	}
	copied := *endpoint
	copied.ColdUntil = now + endpoint.ColdFor
	return &copied
}

// stateOf returns the endpoint's state for the log.
func stateOf(endpoint *catalog.Endpoint) string {
	if endpoint.Draining {
		return "draining"
	}
	return "ready"
}

// absentFrom returns the known endpoints that are not in present.
func (s *state) absentFrom(present []*catalog.Endpoint) []catalog.EndpointID {
	listed := make(map[catalog.EndpointID]bool, len(present))
	for _, endpoint := range present {
		listed[endpoint.ID] = true
	}
	var missing []catalog.EndpointID
	for id := range s.endpoints {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	return missing
}
