package follow

import (
	"errors"
	"reflect"
	"sync"
	"time"

	"github.com/lovageglade/lovageglade/internal/bootclock"
	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/core"
)

// removalRetention is how long removals are kept for followers. Followers read every few seconds.
const removalRetention = time.Minute

// mirror is a delegate's copy of the store's tables. Each value carries the version of the store at which it was read,
// so that a follower can continue from a cursor of the store or of another delegate. It is safe for concurrent use.
type mirror struct {
	mu             sync.Mutex
	operatorCursor Cursor
	endpointCursor Cursor
	operatorSentAt time.Duration // sentAt of the last operatorRead
	operatorAsOf   time.Duration // asOf of the last operatorRead
	endpointSentAt time.Duration // sentAt of the last endpointsRead

	configuration        *catalog.Configuration
	encoded              encodedConfiguration // the complete configuration
	encodedWithoutRoutes encodedConfiguration // the configuration without routes and workspaces
	configurationVersion uint64               // version of the read that returned the configuration
	evacuations          map[core.FailureDomain]versioned[bool]
	wanted               map[core.Model]versioned[int64]
	rollouts             map[core.Model]catalog.Rollouts
	refinements          uint64                                              // how often rollouts changed by more than the accuracy of clocks
	entries              map[catalog.EndpointID]versioned[*catalog.Endpoint] // a nil endpoint marks a removal
	forgottenVersion     uint64                                              // removals of entries up to this version are no longer kept
	forgottenOperator    uint64                                              // ends of evacuations up to this version are not known
	failing              map[string]bool                                     // tables whose last read failed
	relayed              bool                                                // a follower reads the store for this process
	unavailableSince     time.Duration                                       // when reads of the registry began to fail, on the boot clock; 0 if they do not
	changed              chan struct{}                                       // closed and replaced to wake waiting reads
	readersAhead         int                                                 // waiting reads of followers that have read later versions than this process
}

// Names of the tables in mirror.failing.
const (
	tableOperators = "operators"
	tableEndpoints = "endpoints"
)

// observe records the result of a read of a table. It wakes waiting followers when reads begin to fail, so that they
// can turn to another delegate.
func (m *mirror) observe(table string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	failed := err != nil && !errors.Is(err, ErrHistoryGone)
	if m.failing[table] == failed {
		return
	}
	m.failing[table] = failed
	if table == tableEndpoints && failed {
		m.unavailableSince = bootclock.Now()
	}
	m.notify()
}

// resumeGrace extends the grace periods of lapsed entries by the time for which the registry was unavailable meanwhile. The
// caller must hold m.mu.
func (m *mirror) resumeGrace(now time.Duration) {
	for id, entry := range m.entries {
		if entry.lapsed && m.unavailableSince > 0 && entry.seenAt <= m.unavailableSince {
			entry.seenAt += now - m.unavailableSince
			m.entries[id] = entry
		}
	}
	m.unavailableSince = 0
}

// isFailing reports whether the last read of the table failed.
func (m *mirror) isFailing(table string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failing[table]
}

// setRelayed records whether a follower reads the store for this process while its own reads fail. It wakes waiting followers
// when that ends.
func (m *mirror) setRelayed(relayed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.relayed != relayed {
		m.relayed = relayed
		m.notify()
	}
}

// isServing reports whether followers may be served: this process, or a follower for it, can read the store.
func (m *mirror) isServing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serves()
}

// serves is isServing for callers that hold m.mu.
func (m *mirror) serves() bool {
	return m.relayed || !m.failing[tableOperators] && !m.failing[tableEndpoints]
}

// cursors returns how far this process has read both tables.
func (m *mirror) cursors() (operator, endpoints Cursor) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.operatorCursor, m.endpointCursor
}

// versioned is a value with the version of the read that returned it.
type versioned[T any] struct {
	value   T
	version uint64
	seenAt  time.Duration // on the boot clock: when it was read
	lapsed  bool          // removed in the first read after an outage of the store
	address string        // of a removed endpoint
}

func newMirror() *mirror {
	return &mirror{
		evacuations: make(map[core.FailureDomain]versioned[bool]),
		wanted:      make(map[core.Model]versioned[int64]),
		rollouts:    make(map[core.Model]catalog.Rollouts),
		entries:     make(map[catalog.EndpointID]versioned[*catalog.Endpoint]),
		failing:     make(map[string]bool),
		changed:     make(chan struct{}),
	}
}

// addOperator applies a read of the operators' table. It returns fault.Internal if the configuration cannot be encoded.
func (m *mirror) addOperator(read operatorRead) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes := read.changes
	readVersion := changes.Cursor.Version
	restored := isNewEra(m.operatorCursor, changes.Cursor)
	if restored || !m.operatorCursor.Valid {
		m.forgottenOperator = readVersion
		m.restartOperator(readVersion)
	}
	changed := restored || changes.Configuration != nil || len(changes.Evacuations) > 0 || len(changes.Wanted) > 0
	if err := m.setConfiguration(changes.Configuration, readVersion); err != nil {
		return err
	}
	if changes.Full {
		for domain := range m.evacuations {
			m.evacuations[domain] = versioned[bool]{value: false, version: readVersion}
		}
	}
	for domain, active := range changes.Evacuations {
		m.evacuations[domain] = versioned[bool]{value: active, version: readVersion}
	}
	m.addWanted(changes.Wanted, readVersion)
	changed = m.addRollouts(read) || changed
	m.operatorCursor, m.operatorSentAt, m.operatorAsOf = changes.Cursor, max(m.operatorSentAt, read.sentAt), max(m.operatorAsOf, read.asOf)
	if changed {
		m.notify()
	}
	return nil
}

// addWanted adds requested model versions that are newer than those known.
func (m *mirror) addWanted(wanted map[core.Model]int64, readVersion uint64) {
	for model, version := range wanted {
		if version > m.wanted[model].value {
			m.wanted[model] = versioned[int64]{value: version, version: readVersion}
		}
	}
}

// learnOperator adds the configuration and the requested model versions of another delegate before this process's own first read, whose
// version they get. Evacuations are not added, as a read of the store would have to end them. It returns fault.Internal if the
// configuration cannot be encoded.
func (m *mirror) learnOperator(read operatorRead) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.operatorCursor.Valid {
		return nil
	}
	m.addWanted(read.changes.Wanted, 0)
	m.addRollouts(read)
	return m.setConfiguration(read.changes.Configuration, 0)
}

// hasReadOperator reports whether this process has read the operators' table itself.
func (m *mirror) hasReadOperator() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.operatorCursor.Valid
}

// restartOperator assigns the version to everything that is kept of the operators' table, since the versions of an earlier
// era, or of another delegate, cannot be compared with those of this one. Evacuations are read again.
func (m *mirror) restartOperator(version uint64) {
	clear(m.evacuations)
	m.configurationVersion = version
	for model, entry := range m.wanted {
		entry.version = version
		m.wanted[model] = entry
	}
}

// restartEndpoints is like restartOperator for the registry. Earlier removals are dropped.
func (m *mirror) restartEndpoints(version uint64) {
	for id, entry := range m.entries {
		if entry.value == nil {
			delete(m.entries, id)
			continue
		}
		entry.version = version
		m.entries[id] = entry
	}
}

// setConfiguration stores a newer configuration and its encoded forms.
func (m *mirror) setConfiguration(next *catalog.Configuration, readVersion uint64) error {
	if next == nil || m.configuration != nil && next.Version <= m.configuration.Version {
		return nil
	}
	encoded, err := encodeConfiguration(next)
	if err != nil {
		return err
	}
	withoutRoutes, err := encodeConfiguration(&catalog.Configuration{Version: next.Version, Services: next.Services})
	if err != nil {
		return err
	}
	m.configuration, m.encoded, m.encodedWithoutRoutes, m.configurationVersion = next, encoded, withoutRoutes, readVersion
	return nil
}

// addEndpoints applies a read of the registry. Entries that were rewritten without a change are ignored.
func (m *mirror) addEndpoints(now time.Duration, changes EndpointChanges) {
	m.mu.Lock()
	defer m.mu.Unlock()
	readVersion := changes.Cursor.Version
	restored := isNewEra(m.endpointCursor, changes.Cursor)
	if restored || !m.endpointCursor.Valid {
		m.forgottenVersion = readVersion // earlier removals are unknown to this process, or of another era
	}
	if restored {
		m.restartEndpoints(readVersion)
	}
	m.resumeGrace(now)
	removed := changes.Removed
	present := make(map[catalog.EndpointID]bool, len(changes.Present))
	changed := restored
	for _, endpoint := range changes.Present {
		present[endpoint.ID] = true
		if before, ok := m.entries[endpoint.ID]; ok && reflect.DeepEqual(before.value, endpoint) {
			continue
		}
		m.entries[endpoint.ID] = versioned[*catalog.Endpoint]{value: endpoint, version: readVersion, seenAt: now}
		changed = true
	}
	if changes.Full {
		for id := range m.entries {
			if !present[id] {
				removed = append(removed, id)
			}
		}
	}
	for _, id := range removed {
		if before := m.entries[id].value; before != nil {
			m.entries[id] = versioned[*catalog.Endpoint]{version: readVersion, seenAt: now - changes.ReturnedBefore, lapsed: changes.AfterOutage || restored, address: before.Address}
			changed = true
		}
	}
	m.dropOldRemovals(now)
	m.endpointCursor = changes.Cursor
	if changed || m.readersAhead > 0 {
		m.notify()
	}
}

// dropOldRemovals drops removals that are older than removalRetention.
func (m *mirror) dropOldRemovals(now time.Duration) {
	for id, entry := range m.entries {
		if entry.value == nil && now-entry.seenAt > removalRetention {
			m.forgottenVersion = max(m.forgottenVersion, entry.version)
			delete(m.entries, id)
		}
	}
}

// notify wakes all waiting reads. The caller must hold m.mu.
func (m *mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// confirmEndpoints records when the last read of the registry that was added was sent.
func (m *mirror) confirmEndpoints(sentAt time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endpointSentAt = max(m.endpointSentAt, sentAt)
}
