package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	reportHalfLife     = 4 * time.Second // of what an endpoint reported of other entries' requests
	reportedLimitTTL   = time.Minute     // after which a reported limit is no longer believed
	reportWeightBits   = 10
	fullReportWeight   = 1 << reportWeightBits
	typicalLoadSamples = 64 // reports over which the usual share is taken
	perMille           = 1000
)

// Meter is what an entry knows of an endpoint's load: its own attempts there, which it counts, and those of other
// entries, which it learns late from reports. It is safe for concurrent use.
type Meter struct {
	ownInFlight atomic.Int64
	lastReport  atomic.Pointer[report]
	typicalLoad *typicalLoad
}

type report struct {
	others     int64 // requests of other entries, running or queued
	limit      int64
	receivedAt time.Duration
}

// Add counts own attempts that begin (1) or end (-1).
func (m *Meter) Add(delta int) { m.ownInFlight.Add(int64(delta)) }

// Report takes over what the endpoint says of its load. Own attempts are part of it and are not counted twice.
func (m *Meter) Report(load wire.Load, now time.Duration) {
	others := max(0, int64(load.Running+load.Queued)-m.ownInFlight.Load())
	m.lastReport.Store(&report{others: others, limit: int64(load.Limit), receivedAt: now})
	m.typicalLoad.update(others, int64(load.Limit))
}

// ClearReport drops the report of an earlier life of the endpoint.
func (m *Meter) ClearReport() { m.lastReport.Store(nil) }

// Load estimates the requests at an endpoint that bears cold of them when cold. The part that others put there is what
// the endpoint reported; with the report's age it turns into the part that is usual at all endpoints.
func (m *Meter) Load(now time.Duration, coldLimit int64) int64 {
	own := m.ownInFlight.Load()
	last := m.lastReport.Load()
	if last == nil {
		return own + m.typicalLoad.estimate(coldLimit)
	}
	weight := last.weight(now)
	others := last.others*weight + m.typicalLoad.estimate(m.Limit(now, coldLimit))*(fullReportWeight-weight)
	return own + others/fullReportWeight
}

// weight falls from wholeFresh to 0, by half in each half-life.
func (r *report) weight(now time.Duration) int64 {
	halvings := max(0, (now-r.receivedAt)/reportHalfLife)
	return fullReportWeight >> min(halvings, reportWeightBits)
}

// ReportAge returns how old the last report is; false when there is none.
func (m *Meter) ReportAge(now time.Duration) (time.Duration, bool) {
	last := m.lastReport.Load()
	if last == nil {
		return 0, false
	}
	return now - last.receivedAt, true
}

// Limit returns the reported limit, or the cold one when none is reported or the report is too old.
func (m *Meter) Limit(now time.Duration, coldLimit int64) int64 {
	last := m.lastReport.Load()
	if last == nil || last.limit <= 0 || now-last.receivedAt > reportedLimitTTL {
		return coldLimit
	}
	return last.limit
}

// typicalLoad is the mean share of their limit that endpoints reported of other entries' requests, in thousandths. Updates
// that cross may lose one another, which the mean bears.
type typicalLoad struct{ scaledMean atomic.Int64 }

func (t *typicalLoad) update(others, limit int64) {
	if limit <= 0 {
		return
	}
	mean := t.scaledMean.Load()
	t.scaledMean.Store(mean + (others*perMille/limit*typicalLoadSamples-mean)/typicalLoadSamples)
}

// estimate returns the part estimate the limit that others usually fill.
func (t *typicalLoad) estimate(limit int64) int64 {
	return t.scaledMean.Load() * limit / (perMille * typicalLoadSamples)
}

// Meters keeps one meter for each endpoint over all views. It is safe for concurrent use.
type Meters struct {
	mu          sync.RWMutex
	byHost      map[core.HostID]*hostMeter
	typicalLoad typicalLoad
}

type hostMeter struct {
	meter       Meter
	incarnation core.Incarnation
}

// NewMeters returns meters of endpoints of which nothing is known.
func NewMeters() *Meters { return &Meters{byHost: make(map[core.HostID]*hostMeter)} }

// Of returns the meter of the host's endpoint.
func (m *Meters) Of(host core.HostID) *Meter { return &m.getOrCreate(host).meter }

func (m *Meters) getOrCreate(host core.HostID) *hostMeter {
	m.mu.RLock()
	found := m.byHost[host]
	m.mu.RUnlock()
	if found != nil {
		return found
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if found = m.byHost[host]; found == nil {
		found = &hostMeter{}
		found.meter.typicalLoad = &m.typicalLoad
		m.byHost[host] = found
	}
	return found
}

// forIncarnation returns the meter of the host's endpoint in one life of its agent, without reports of an earlier one. Only
// the builder of an index calls it.
func (m *Meters) forIncarnation(host core.HostID, incarnation core.Incarnation) *Meter {
	found := m.getOrCreate(host)
	m.mu.Lock()
	defer m.mu.Unlock()
	if found.incarnation != incarnation {
		found.incarnation = incarnation
		found.meter.ClearReport()
	}
	return &found.meter
}
