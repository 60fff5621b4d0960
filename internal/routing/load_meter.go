package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	reportHalfLife     = 4 * time.Second // of the weight of a reported load from other entries
	reportedLimitTTL   = time.Minute     // age above which a reported limit is ignored
	reportWeightBits   = 10              // a report reaches its lowest weight after this many half-lives
	fullReportWeight   = 1 << reportWeightBits
	typicalLoadSamples = 64 // window of the moving average, in reports
	perMille           = 1000
)

// LoadMeter estimates the load of one endpoint as seen by one entry or gateway. It counts own attempts in flight, and
// learns of the requests of other entries or gateways from load reports, with a delay. It is safe for concurrent use.
type LoadMeter struct {
	ownInFlight atomic.Int64
	lastReport  atomic.Pointer[report]
	typicalLoad *typicalLoad
}

type report struct {
	others     int64 // requests from other entries or gateways, running or queued
	limit      int64
	receivedAt time.Duration
}

// AddInFlight adds delta to the number of own attempts in flight: 1 when one begins, -1 when it ends.
func (m *LoadMeter) AddInFlight(delta int) { m.ownInFlight.Add(int64(delta)) }

// RecordReport records the load that the endpoint reported. Own attempts in flight are subtracted from it, so that Load
// does not count them twice.
func (m *LoadMeter) RecordReport(load wire.Load, now time.Duration) {
	others := max(0, int64(load.Running+load.Queued)-m.ownInFlight.Load())
	m.lastReport.Store(&report{others: others, limit: int64(load.Limit), receivedAt: now})
	m.typicalLoad.update(others, int64(load.Limit))
}

// ClearReport drops the report of an earlier incarnation of the endpoint.
func (m *LoadMeter) ClearReport() { m.lastReport.Store(nil) }

// Load estimates the number of requests at the endpoint: own attempts in flight plus requests from other entries. The
// estimate for other entries starts at the last report and moves towards the typical load of all endpoints as the
// report ages. Without a report, the typical load is taken of coldLimit.
func (m *LoadMeter) Load(now time.Duration, coldLimit int64) int64 {
	own := m.ownInFlight.Load()
	last := m.lastReport.Load()
	if last == nil {
		return own + m.typicalLoad.estimate(coldLimit)
	}
	weight := last.weight(now)
	others := last.others*weight + m.typicalLoad.estimate(m.Limit(now, coldLimit))*(fullReportWeight-weight)
	return own + others/fullReportWeight
}

// weight returns the weight of the report in a load estimate. It starts at fullReportWeight and halves with each
// reportHalfLife of age, but not below 1.
func (r *report) weight(now time.Duration) int64 {
	halvings := max(0, (now-r.receivedAt)/reportHalfLife)
	return fullReportWeight >> min(halvings, reportWeightBits)
}

// ReportAge returns the age of the last report, and false if there is none.
func (m *LoadMeter) ReportAge(now time.Duration) (time.Duration, bool) {
	last := m.lastReport.Load()
	if last == nil {
		return 0, false
	}
	return now - last.receivedAt, true
}

// Limit returns the reported concurrency limit. It returns coldLimit if no limit was reported or the report is older
// than reportedLimitTTL.
func (m *LoadMeter) Limit(now time.Duration, coldLimit int64) int64 {
	last := m.lastReport.Load()
	if last == nil || last.limit <= 0 || now-last.receivedAt > reportedLimitTTL {
		return coldLimit
	}
	return last.limit
}

// typicalLoad is a moving average over all endpoints of the share of the limit that requests from other entries take.
// Concurrent updates may overwrite each other, which only skips a sample.
type typicalLoad struct{ scaledMean atomic.Int64 } // mean share in thousandths, times typicalLoadSamples

// update adds a sample to the average. A limit that is not positive is ignored.
func (t *typicalLoad) update(others, limit int64) {
	if limit <= 0 {
		return
	}
	mean := t.scaledMean.Load()
	t.scaledMean.Store(mean + (others*perMille/limit*typicalLoadSamples-mean)/typicalLoadSamples)
}

// estimate returns the number of requests from other entries that is typical for an endpoint with the limit.
func (t *typicalLoad) estimate(limit int64) int64 {
	return t.scaledMean.Load() * limit / (perMille * typicalLoadSamples)
}

// LoadMeters holds one load meter per host. The meters outlive the views and indexes that use them. It is safe for concurrent
// use.
type LoadMeters struct {
	mu          sync.RWMutex
	byHost      map[core.HostID]*hostMeter
	typicalLoad typicalLoad
}

// hostMeter is the load meter of a host's endpoint and the incarnation whose reports it holds.
type hostMeter struct {
	meter       LoadMeter
	incarnation core.Incarnation
}

// NewLoadMeters returns an empty set of meters.
func NewLoadMeters() *LoadMeters { return &LoadMeters{byHost: make(map[core.HostID]*hostMeter)} }

// ForHost returns the meter of the host's endpoint. It creates one for a new host.
func (m *LoadMeters) ForHost(host core.HostID) *LoadMeter { return &m.getOrCreate(host).meter }

func (m *LoadMeters) getOrCreate(host core.HostID) *hostMeter {
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

// forIncarnation returns the meter of the host's endpoint and clears its report if the agent's incarnation has
// changed. Only buildService calls it.
func (m *LoadMeters) forIncarnation(host core.HostID, incarnation core.Incarnation) *LoadMeter {
	found := m.getOrCreate(host)
	m.mu.Lock()
	defer m.mu.Unlock()
	if found.incarnation != incarnation {
		found.incarnation = incarnation
		found.meter.ClearReport()
	}
	return &found.meter
}
