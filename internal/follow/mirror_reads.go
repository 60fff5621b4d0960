package follow

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// waitForChange blocks until there are changes since the request's cursors, more is known of when a version was requested, the
// request's Wait has passed, or ctx ends.
// Changes of endpoints alone end the wait only after the request's EndpointsWait, unless they concern its UrgentAddress.
// waitForChange returns false as soon as this process's own reads of the store fail.
func (m *mirror) waitForChange(ctx context.Context, request readRequest) bool {
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	gather := time.NewTimer(request.EndpointsWait)
	defer gather.Stop()
	gathered := request.EndpointsWait <= 0
	refinements := m.refinementCount()
	for {
		m.mu.Lock()
		ahead := request.Resync && isLater(request.Endpoints, m.endpointCursor)
		due := m.operatorChangedSince(request.Operator, request.Endpoints) || m.refinements != refinements || request.Resync && !ahead
		due = due || m.endpointsChangedSince(request.Endpoints, gathered, request.UrgentAddress)
		failing := !m.serves()
		changed := m.changed
		if ahead && !failing && !due {
			m.readersAhead++
		}
		m.mu.Unlock()
		if failing || due {
			return !failing
		}
		ended := false
		select {
		case <-ctx.Done():
			ended = true
		case <-timer.C:
			ended = true
		case <-gather.C:
			gathered = true
		case <-changed:
		}
		if ahead {
			m.mu.Lock()
			m.readersAhead--
			m.mu.Unlock()
		}
		if ended {
			return true
		}
	}
}

// missedRestore reports whether a cursor is of a later era than what this process has read. Such a follower must not
// receive anything from here.
func (m *mirror) missedRestore(operator, endpoints Cursor) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return isNewEra(m.operatorCursor, operator) || isNewEra(m.endpointCursor, endpoints)
}

// operatorChangedSince reports whether there are changes of the operators' table since the cursor, or the reader has to read
// both tables anew. The caller must hold m.mu.
func (m *mirror) operatorChangedSince(operator, endpoints Cursor) bool {
	if !operator.Valid || !endpoints.Valid || m.configurationVersion > operator.Version {
		return true
	}
	if isNewEra(operator, m.operatorCursor) || isNewEra(endpoints, m.endpointCursor) {
		return true
	}
	for _, entry := range m.evacuations {
		if entry.version > operator.Version {
			return true
		}
	}
	for _, entry := range m.wanted {
		if entry.version > operator.Version {
			return true
		}
	}
	return false
}

// endpointsChangedSince reports whether there are changes of the registry since the cursor: any, or only those of the
// endpoint at the address. The caller must hold m.mu.
func (m *mirror) endpointsChangedSince(since Cursor, any bool, address string) bool {
	for _, entry := range m.entries {
		changedAddress := entry.address
		if entry.value != nil {
			changedAddress = entry.value.Address
		}
		isUrgent := address != "" && changedAddress == address
		if entry.version > since.Version && (any || isUrgent) {
			return true
		}
	}
	return false
}

// operatorSince returns the changes since the cursor, and the encoded configuration if it changed. With omitRoutes, the
// configuration leaves out routes and workspaces. A follower whose evacuations may have ended unnoticed gets all of them.
func (m *mirror) operatorSince(since Cursor, omitRoutes bool) (OperatorChanges, encodedConfiguration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes := OperatorChanges{
		Full:        !since.Valid || since.Version < m.forgottenOperator || isNewEra(since, m.operatorCursor),
		Cursor:      laterCursor(since, m.operatorCursor),
		Evacuations: make(map[core.FailureDomain]bool),
		Wanted:      make(map[core.Model]int64),
	}
	var configuration encodedConfiguration
	if changes.Full || m.configurationVersion > since.Version {
		configuration = m.encoded
		if omitRoutes {
			configuration = m.encodedWithoutRoutes
		}
	}
	for domain, entry := range m.evacuations {
		if changes.Full && entry.value || !changes.Full && entry.version > since.Version {
			changes.Evacuations[domain] = entry.value
		}
	}
	for model, entry := range m.wanted {
		if changes.Full || entry.version > since.Version {
			changes.Wanted[model] = entry.value
		}
	}
	return changes, configuration
}

// hasNewerConfiguration reports whether the configuration is newer than the version that a follower has.
func (m *mirror) hasNewerConfiguration(version int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.configuration != nil && m.configuration.Version > version
}

// ages returns the age of this process's view of the operators' table, and the time since its last response from the
// store.
func (m *mirror) ages(now time.Duration) (age, silence time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now - m.operatorSentAt, now - m.operatorAsOf
}

// endpointsAge returns the age of this process's view of the registry.
func (m *mirror) endpointsAge(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now - m.endpointSentAt
}

// requestedAges returns an upper bound of the time since each wanted version was requested.
func (m *mirror) requestedAges(wanted map[core.Model]int64, now time.Duration) map[core.Model]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	ages := make(map[core.Model]time.Duration, len(wanted))
	for model := range wanted {
		rollout, _ := m.rollouts[model].Find(m.wanted[model].value)
		ages[model] = now - rollout.RequestedAt
	}
	return ages
}

// endpointsSince returns the changes since the cursor, or all endpoints with resync. A follower that has read a later
// version gets no changes until this process has caught up.
func (m *mirror) endpointsSince(since Cursor, resync bool, now time.Duration) EndpointChanges {
	m.mu.Lock()
	defer m.mu.Unlock()
	if resync && isLater(since, m.endpointCursor) {
		return EndpointChanges{Cursor: since}
	}
	full := !since.Valid || since.Version < m.forgottenVersion || resync || isNewEra(since, m.endpointCursor)
	changes := EndpointChanges{Full: full, Cursor: laterCursor(since, m.endpointCursor)}
	for id, entry := range m.entries {
		switch {
		case entry.value != nil && (full || entry.version > since.Version):
			changes.Present = append(changes.Present, entry.value)
		case entry.value == nil && entry.lapsed && (full && now-entry.seenAt < lapseGrace || !full && entry.version > since.Version):
			changes.Lapsed = append(changes.Lapsed, id)
			changes.LapsedAges = append(changes.LapsedAges, now-entry.seenAt)
		case entry.value == nil && !full && entry.version > since.Version:
			changes.Removed = append(changes.Removed, id)
		}
	}
	return changes
}
