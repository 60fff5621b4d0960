package gateway

import (
	"fmt"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/catalog"
	"github.com/lovageglade/lovageglade/internal/telemetry"
)

// pickRecord describes one pick of an endpoint for the request log: the inputs of the pick and its outcome.
type pickRecord struct {
	endpoint  catalog.EndpointID
	load      int64         // estimated number of requests at the endpoint
	slots     int           // requests that the endpoint runs at once
	reportAge time.Duration // age of the load report behind the estimate; negative without a report
	slowdown  float64       // expected, relative to the published costs; 1 if the endpoint does not state one
	rate      float64       // requests per second that the endpoint states; 0 without a limit
	outcome   string        // why the endpoint gave no answer; "" while the attempt runs or after it succeeded
}

// recordPick returns a record that the endpoint was picked, with its estimated load.
func (f *forwarder) recordPick(endpoint *catalog.Endpoint) *pickRecord {
	now := f.g.now()
	meter := f.g.placer.Meter(endpoint.ID)
	age, reported := meter.ReportAge(now)
	if !reported {
		age = -1
	}
	telemetry.EndpointPicked(endpoint.Region == f.g.settings.Region)
	rate, _ := f.g.placer.StatedRate(endpoint, now) // 0 if it states none
	pick := &pickRecord{
		rate:      rate,
		slowdown:  f.g.placer.Slowdown(endpoint, now),
		endpoint:  endpoint.ID,
		load:      meter.Load(now, int64(max(1, endpoint.Slots))),
		slots:     endpoint.Slots,
		reportAge: age,
	}
	f.picks = append(f.picks, pick)
	return pick
}

// recordOutcome records why the pick gave no answer.
func (p *pickRecord) recordOutcome(outcome error) {
	p.outcome = outcome.Error()
	if refusal := asRefusal(outcome); refusal != nil {
		p.outcome = refusal.reason
	}
}

func (p pickRecord) String() string {
	report := "no report"
	if p.reportAge >= 0 {
		report = "report " + p.reportAge.Round(time.Millisecond).String() + " old"
	}
	return fmt.Sprintf("%s load %d of %d, %s: %s", p.endpoint, p.load, p.slots, report, p.outcome)
}

// addPickFields adds the failed picks to the log entry, and the inputs of the successful one.
func (f *forwarder) addPickFields(entry *log.Entry) *log.Entry {
	var failed []string
	for _, p := range f.picks {
		if p.outcome != "" {
			failed = append(failed, p.String())
		}
	}
	if len(failed) > 0 {
		entry.Strs("failed_picks", failed)
	}
	successful := slices.IndexFunc(f.picks, func(p *pickRecord) bool { return p.outcome == "" })
	if successful >= 0 {
		pick := f.picks[successful]
		entry.Int64("load", pick.load).Int("slots", pick.slots).Dur("report_age", pick.reportAge)
		if pick.slowdown > 1 {
			entry.Float64("slowdown", pick.slowdown)
		}
		if pick.rate > 0 {
			entry.Float64("stated_rate", pick.rate)
		}
	}
	return entry
}

// recordFailure tells the placer that the endpoint failed a request, and logs when the endpoint becomes avoided.
func (g *Gateway) recordFailure(endpoint *catalog.Endpoint) {
	g.recordAnswer(endpoint, true)
	now := g.now()
	if until, changed := g.placer.RecordFailure(endpoint.ID, now); changed {
		g.logger.Info().Str("endpoint", string(endpoint.ID)).Dur("for", until-now).Msg("endpoint avoided after a failure")
	}
}

// recordAnswer tells the placer whether the endpoint failed a request, and logs when it fails too large a share of them.
func (g *Gateway) recordAnswer(endpoint *catalog.Endpoint, failed bool) {
	if g.placer.RecordAnswer(endpoint.ID, failed, g.now()) {
		telemetry.ErrorShareExceeded(string(endpoint.Service))
		g.logger.Info().Str("endpoint", string(endpoint.ID)).Str("service", string(endpoint.Service)).Msg("endpoint fails a share of its requests")
	}
}

// recordSuccess tells the placer that the endpoint answered, and logs when that ends an earlier failure.
func (g *Gateway) recordSuccess(endpoint *catalog.Endpoint) {
	if g.placer.RecordSuccess(endpoint.ID) {
		g.logger.Info().Str("endpoint", string(endpoint.ID)).Msg("endpoint answers again")
	}
}

// recordWithdrawal tells the placer that the endpoint is leaving, or that it wants no requests for the time holdOff, and logs
// it if it is new. Both may be unset.
func (g *Gateway) recordWithdrawal(endpoint *catalog.Endpoint, leaving bool, holdOff time.Duration) {
	now := g.now()
	if leaving && g.placer.RecordLeaving(endpoint, now) {
		g.pool.CloseIdle(endpoint.Address)
		g.logger.Info().Str("endpoint", string(endpoint.ID)).Msg("endpoint says that it is leaving")
	}
	if holdOff > 0 && g.placer.RecordHoldOff(endpoint, now, holdOff) {
		g.logger.Info().Str("endpoint", string(endpoint.ID)).Dur("for", holdOff).Msg("endpoint wants no requests")
	}
}

// recordRate tells the placer which request rate an answer of the endpoint states, nil for none, and logs a change. The request
// was sent at sentAt.
func (g *Gateway) recordRate(endpoint *catalog.Endpoint, rate *float64, sentAt time.Duration) {
	if !g.placer.RecordRate(endpoint, rate, sentAt, g.now()) {
		return
	}
	entry := g.logger.Info().Str("endpoint", string(endpoint.ID))
	if rate != nil {
		entry.Float64("per_second", *rate)
	}
	entry.Msg("endpoint's stated request rate changed")
}
