package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	loadHalfLife = 4 * time.Second // of what an endpoint reported of other entries' requests
	limitLife    = time.Minute     // after which a reported limit is no longer believed
	freshBits    = 10
	wholeFresh   = 1 << freshBits
	usualWeight  = 64 // reports over which the usual share is taken
	thousand     = 1000
)

// Meter is what an entry knows of an endpoint's load: its own attempts there, which it counts, and those of other
// entries, which it learns late from reports. It is safe for concurrent use.
type Meter struct {
	own    atomic.Int64
	latest atomic.Pointer[report]
	usual  *usual
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
	others := max(0, int64(load.Running+load.Queued)-m.own.Load())
	m.latest.Store(&report{others: others, limit: int64(load.Limit), at: now})
	m.usual.add(others, int64(load.Limit))
}

// Forget drops the report of an earlier life of the endpoint.
func (m *Meter) Forget() { m.latest.Store(nil) }

// Load estimates the requests at an endpoint that bears cold of them when cold. The part that others put there is what
// the endpoint reported; with the report's age it turns into the part that is usual at all endpoints.
func (m *Meter) Load(now time.Duration, cold int64) int64 {
	own := m.own.Load()
	latest := m.latest.Load()
	if latest == nil {
		return own + m.usual.of(cold)
	}
	fresh := latest.freshness(now)
	others := latest.others*fresh + m.usual.of(m.Limit(now, cold))*(wholeFresh-fresh)
	return own + others/wholeFresh
}

// freshness falls from wholeFresh to 0, by half in each half-life.
func (r *report) freshness(now time.Duration) int64 {
	halvings := max(0, (now-r.at)/loadHalfLife)
	return wholeFresh >> min(halvings, freshBits)
}

// ReportAge returns how old the last report is; false when there is none.
func (m *Meter) ReportAge(now time.Duration) (time.Duration, bool) {
	latest := m.latest.Load()
	if latest == nil {
		return 0, false
	}
	return now - latest.at, true
}

// Limit returns the reported limit, or the cold one when none is reported or the report is too old.
func (m *Meter) Limit(now time.Duration, cold int64) int64 {
	latest := m.latest.Load()
	if latest == nil || latest.limit <= 0 || now-latest.at > limitLife {
		return cold
	}
	return latest.limit
}

// usual is the mean share of their limit that endpoints reported of other entries' requests, in thousandths. Updates
// that cross may lose one another, which the mean bears.
type usual struct{ share atomic.Int64 }

func (u *usual) add(others, limit int64) {
	if limit <= 0 {
		return
	}
	mean := u.share.Load()
	u.share.Store(mean + (others*thousand/limit*usualWeight-mean)/usualWeight)
}

// of returns the part of the limit that others usually fill.
func (u *usual) of(limit int64) int64 { return u.share.Load() * limit / (thousand * usualWeight) }

// Meters keeps one meter for each endpoint over all views. It is safe for concurrent use.
type Meters struct {
	mu    sync.RWMutex
	known map[core.HostID]*known
	usual usual
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
		found.meter.usual = &m.usual
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
