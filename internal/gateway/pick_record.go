package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// decision is one pick of an endpoint, with what it was picked by and what became of it.
type pickRecord struct {
	endpoint  catalog.EndpointID
	load      int64         // requests there, as estimated
	slots     int           // that it runs at once
	reportAge time.Duration // of the report that the estimate rests on; negative for none
	outcome   string        // "" while it is under way
}

// decide takes note of the pick.
func (f *forwarder) recordPick(endpoint *catalog.Endpoint) {
	now := f.g.now()
	meter := f.g.placer.Load(endpoint.ID)
	age, reported := meter.ReportAge(now)
	if !reported {
		age = -1
	}
	f.picks = append(f.picks, pickRecord{
		endpoint:  endpoint.ID,
		load:      meter.Load(now, int64(max(1, endpoint.Slots))),
		slots:     endpoint.Slots,
		reportAge: age,
	})
}

// conclude takes note of what became of the last pick.
func (f *forwarder) recordPickOutcome(outcome error) {
	pick := &f.picks[len(f.picks)-1]
	var refusal *refusalError
	switch {
	case errors.As(outcome, &refusal):
		pick.outcome = refusal.reason
	case outcome != nil:
		pick.outcome = outcome.Error()
	}
}

func (p pickRecord) String() string {
	report := "no report"
	if p.reportAge >= 0 {
		report = "report " + p.reportAge.Round(time.Millisecond).String() + " old"
	}
	return fmt.Sprintf("%s load %d of %d, %s: %s", p.endpoint, p.load, p.slots, report, p.outcome)
}

// addDecisions writes the picks that led to no answer, and what the one that did was picked by.
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
	if len(f.picks) == 0 {
		return entry
	}
	if pick := f.picks[len(f.picks)-1]; pick.outcome == "" {
		entry.Int64("load", pick.load).Int("slots", pick.slots).Dur("report_age", pick.reportAge)
	}
	return entry
}

// avoid takes note of an endpoint that failed a request.
func (g *Gateway) recordFailure(endpoint *catalog.Endpoint) {
	now := g.now()
	if until, changed := g.placer.Failed(endpoint.ID, now); changed {
		g.logger.Info().Str("endpoint", string(endpoint.ID)).Dur("for", until-now).Msg("endpoint avoided after a failure")
	}
}

// sound takes note of an endpoint that answered.
func (g *Gateway) recordSuccess(endpoint *catalog.Endpoint) {
	if g.placer.Succeeded(endpoint.ID) {
		g.logger.Info().Str("endpoint", string(endpoint.ID)).Msg("endpoint answers again")
	}
}
