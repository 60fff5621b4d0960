package follow

import (
	"context"
	"errors"
	"reflect"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
)

// goneKept is how long removals are kept for followers. Followers read every few seconds.
const goneKept = time.Minute

// mirror is a delegate's copy of the store's tables. Each value carries the version of the store at which it was read, so
// that a follower can continue from a cursor of the store or of another delegate. It is safe for concurrent use.
type mirror struct {
	mu        sync.Mutex
	operator  Cursor
	endpoints Cursor
	sent      time.Duration // of the last read of the operators' table, as in operatorRead
	asOf      time.Duration // the same

	configuration   *catalog.Configuration
	whole           packed // the complete configuration
	services        packed // the configuration without routes and workspaces
	configurationAt uint64 // version of the read that returned the configuration
	evacuations     map[core.FailureDomain]mirrored[bool]
	wanted          map[core.Model]mirrored[int64]
	listed          map[catalog.EndpointID]mirrored[*catalog.Endpoint] // a nil endpoint marks a removal
	horizon         uint64                                             // removals up to this version are no longer kept
	failing         map[string]bool                                    // tables whose last read failed
	changed         chan struct{}                                      // closed and replaced to wake waiting reads
}

// Names of the tables in mirror.failing.
const (
	tableOperators = "operators"
	tableEndpoints = "endpoints"
)

// observe records the result of a read of a table. It wakes waiting followers when reads begin to fail, so that they can
// turn to another delegate.
func (m *mirror) observe(table string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	failed := err != nil && !errors.Is(err, ErrHistoryGone)
	if m.failing[table] == failed {
		return
	}
	m.failing[table] = failed
	m.wake()
}

// mirrored is a value with the version of the read that returned it.
type mirrored[T any] struct {
	value  T
	at     uint64
	seen   time.Duration // when it was read; for a wanted version, the earliest time of its request; on the boot clock
	lapsed bool          // removed in the first read after an outage of the store
}

func newMirror() *mirror {
	return &mirror{
		evacuations: make(map[core.FailureDomain]mirrored[bool]),
		wanted:      make(map[core.Model]mirrored[int64]),
		listed:      make(map[catalog.EndpointID]mirrored[*catalog.Endpoint]),
		failing:     make(map[string]bool),
		changed:     make(chan struct{}),
	}
}

// addOperator applies a read of the operators' table. It returns fault.Internal if the configuration cannot be encoded.
func (m *mirror) addOperator(read operatorRead) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes := read.changes
	at := changes.Cursor.Version
	news := changes.Configuration != nil || len(changes.Evacuations) > 0 || len(changes.Wanted) > 0
	if err := m.setConfiguration(changes.Configuration, at); err != nil {
		return err
	}
	if changes.Whole {
		for domain := range m.evacuations {
			m.evacuations[domain] = mirrored[bool]{value: false, at: at}
		}
	}
	for domain, out := range changes.Evacuations {
		m.evacuations[domain] = mirrored[bool]{value: out, at: at}
	}
	for model, version := range changes.Wanted {
		if version > m.wanted[model].value {
			m.wanted[model] = mirrored[int64]{value: version, at: at, seen: read.namedAt(model)}
		}
	}
	m.operator, m.sent, m.asOf = changes.Cursor, read.sent, read.asOf
	if news {
		m.wake()
	}
	return nil
}

// setConfiguration stores a newer configuration and its encoded forms.
func (m *mirror) setConfiguration(next *catalog.Configuration, at uint64) error {
	if next == nil || m.configuration != nil && next.Version <= m.configuration.Version {
		return nil
	}
	whole, err := pack(next)
	if err != nil {
		return err
	}
	services, err := pack(&catalog.Configuration{Version: next.Version, Services: next.Services})
	if err != nil {
		return err
	}
	m.configuration, m.whole, m.services, m.configurationAt = next, whole, services, at
	return nil
}

// addEndpoints applies a read of the registry. Entries that were rewritten without a change are ignored.
func (m *mirror) addEndpoints(now time.Duration, changes EndpointChanges) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := changes.Cursor.Version
	if !m.endpoints.Read {
		m.horizon = at // earlier removals are unknown to this process
	}
	gone := changes.Gone
	present := make(map[catalog.EndpointID]bool, len(changes.Present))
	news := false
	for _, endpoint := range changes.Present {
		present[endpoint.ID] = true
		if before, ok := m.listed[endpoint.ID]; ok && reflect.DeepEqual(before.value, endpoint) {
			continue
		}
		m.listed[endpoint.ID] = mirrored[*catalog.Endpoint]{value: endpoint, at: at, seen: now}
		news = true
	}
	if changes.Whole {
		for id := range m.listed {
			if !present[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		if m.listed[id].value != nil {
			m.listed[id] = mirrored[*catalog.Endpoint]{at: at, seen: now, lapsed: changes.AfterOutage}
			news = true
		}
	}
	m.forget(now)
	m.endpoints = changes.Cursor
	if news {
		m.wake()
	}
}

// forget drops removals that are older than goneKept.
func (m *mirror) forget(now time.Duration) {
	for id, entry := range m.listed {
		if entry.value == nil && now-entry.seen > goneKept {
			m.horizon = max(m.horizon, entry.at)
			delete(m.listed, id)
		}
	}
}

// wake wakes all waiting reads. The lock is held.
func (m *mirror) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// wait blocks until there are changes since the request's cursors, the request's Wait has passed, or ctx ends. It returns
// false as soon as this process's own reads of the store fail.
func (m *mirror) wait(ctx context.Context, request readRequest) bool {
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		news := m.newer(request.Operator, request.Endpoints) || request.Resync && !m.behind(request.Endpoints)
		failing := m.failing[tableOperators] || m.failing[tableEndpoints]
		changed := m.changed
		m.mu.Unlock()
		if failing || news {
			return !failing
		}
		select {
		case <-ctx.Done():
			return true
		case <-timer.C:
			return true
		case <-changed:
		}
	}
}

// newer reports whether there are changes since the cursors. The lock is held.
func (m *mirror) newer(operator, endpoints Cursor) bool {
	if !operator.Read || !endpoints.Read || m.configurationAt > operator.Version {
		return true
	}
	for _, entry := range m.evacuations {
		if entry.at > operator.Version {
			return true
		}
	}
	for _, entry := range m.wanted {
		if entry.at > operator.Version {
			return true
		}
	}
	for _, entry := range m.listed {
		if entry.at > endpoints.Version {
			return true
		}
	}
	return false
}

// operatorSince returns the changes since the cursor, and the encoded configuration if it changed. With bare, the
// configuration leaves out routes and workspaces.
func (m *mirror) operatorSince(since Cursor, bare bool) (OperatorChanges, packed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes := OperatorChanges{
		Whole:       !since.Read,
		Cursor:      later(since, m.operator),
		Evacuations: make(map[core.FailureDomain]bool),
		Wanted:      make(map[core.Model]int64),
	}
	var configuration packed
	if changes.Whole || m.configurationAt > since.Version {
		configuration = m.whole
		if bare {
			configuration = m.services
		}
	}
	for domain, entry := range m.evacuations {
		if changes.Whole && entry.value || !changes.Whole && entry.at > since.Version {
			changes.Evacuations[domain] = entry.value
		}
	}
	for model, entry := range m.wanted {
		if changes.Whole || entry.at > since.Version {
			changes.Wanted[model] = entry.value
		}
	}
	return changes, configuration
}

// ages returns the age of this process's view of the operators' table, and the time since its last response from the
// store.
func (m *mirror) ages(now time.Duration) (age, silence time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now - m.sent, now - m.asOf
}

// namedAges returns the longest time for which each wanted version may have been requested.
func (m *mirror) namedAges(wanted map[core.Model]int64, now time.Duration) map[core.Model]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	ages := make(map[core.Model]time.Duration, len(wanted))
	for model := range wanted {
		ages[model] = now - m.wanted[model].seen
	}
	return ages
}

// behind reports whether a follower has read a later version of the registry than this process. The lock is held.
func (m *mirror) behind(since Cursor) bool { return since.Read && m.endpoints.Version < since.Version }

// endpointsSince returns the changes since the cursor, or all endpoints with resync. A follower that has read a later
// version gets no changes until this process has caught up.
func (m *mirror) endpointsSince(since Cursor, resync bool, now time.Duration) EndpointChanges {
	m.mu.Lock()
	defer m.mu.Unlock()
	if resync && m.behind(since) {
		return EndpointChanges{Cursor: since}
	}
	whole := !since.Read || since.Version < m.horizon || resync
	changes := EndpointChanges{Whole: whole, Cursor: later(since, m.endpoints)}
	for id, entry := range m.listed {
		switch {
		case entry.value != nil && (whole || entry.at > since.Version):
			changes.Present = append(changes.Present, entry.value)
		case entry.value == nil && entry.lapsed && (whole && now-entry.seen < lapseGrace || !whole && entry.at > since.Version):
			changes.Lapsed = append(changes.Lapsed, id)
		case entry.value == nil && !whole && entry.at > since.Version:
			changes.Gone = append(changes.Gone, id)
		}
	}
	return changes
}

// later returns the later of two cursors.
func later(a, b Cursor) Cursor {
	if !a.Read || b.Read && b.Version > a.Version {
		return b
	}
	return a
}
