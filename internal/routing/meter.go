package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	loadHalfLife = 500 * time.Millisecond // after which half of the load that others put on an endpoint is forgotten
	limitLife    = 10 * time.Second       // after which a reported limit is no longer believed
	maxHalvings  = 62
)

// Meter is what an entry knows of an endpoint's load: its own attempts there, which it counts, and those of other
// entries, which it learns late from reports. It is safe for concurrent use.
type Meter struct {
	own    atomic.Int64
	latest atomic.Pointer[report]
}

type report struct {
	others int64 // requests of other entries, running or queued
	limit  int64
	at     time.Duration
}

// Add counts own attempts that begin (1) or end (-1).
func (m *Meter) Add(change int) { m.own.Add(int64(change)) }

// Report takes over what the endpoint says of its load. Own attempts are part of it and are not counted twice.
func (m *Meter) Report(load wire.Load, now time.Duration) {
	others := int64(load.Running+load.Queued) - m.own.Load()
	m.latest.Store(&report{others: max(0, others), limit: int64(load.Limit), at: now})
}

// Forget drops the report of an earlier life of the endpoint.
func (m *Meter) Forget() { m.latest.Store(nil) }

// Load estimates the requests at the endpoint now. The part that others put there fades with the report's age.
func (m *Meter) Load(now time.Duration) int64 {
	load := m.own.Load()
	latest := m.latest.Load()
	if latest == nil {
		return load
	}
	halvings := min(max(0, (now-latest.at)/loadHalfLife), maxHalvings)
	return load + latest.others>>halvings
}

// Limit returns the reported limit, or 0 when none is reported or the report is too old.
func (m *Meter) Limit(now time.Duration) int64 {
	latest := m.latest.Load()
	if latest == nil || now-latest.at > limitLife {
		return 0
	}
	return latest.limit
}

// Meters keeps one meter for each endpoint over all views. It is safe for concurrent use.
type Meters struct {
	mu    sync.RWMutex
	known map[core.HostID]*known
}

type known struct {
	meter       Meter
	incarnation core.Incarnation
}

// NewMeters returns meters of endpoints of which nothing is known.
func NewMeters() *Meters { return &Meters{known: make(map[core.HostID]*known)} }

// Of returns the meter of the host's endpoint.
func (m *Meters) Of(host core.HostID) *Meter { return &m.of(host).meter }

func (m *Meters) of(host core.HostID) *known {
	m.mu.RLock()
	found := m.known[host]
	m.mu.RUnlock()
	if found != nil {
		return found
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if found = m.known[host]; found == nil {
		found = &known{}
		m.known[host] = found
	}
	return found
}

// ofLife returns the meter of the host's endpoint in one life of its agent, without reports of an earlier one. Only
// the builder of an index calls it.
func (m *Meters) ofLife(host core.HostID, incarnation core.Incarnation) *Meter {
	found := m.of(host)
	m.mu.Lock()
	defer m.mu.Unlock()
	if found.incarnation != incarnation {
		found.incarnation = incarnation
		found.meter.Forget()
	}
	return &found.meter
}
