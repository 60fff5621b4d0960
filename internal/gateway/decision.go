package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"github.com/lovageglade/lovageglade/internal/catalog"
)

// decision is one pick of an endpoint, with what it was picked by and what became of it.
type decision struct {
	endpoint catalog.EndpointID
	load     int64         // requests there, as estimated
	slots    int           // that it runs at once
	age      time.Duration // of the report that the estimate rests on; negative for none
	outcome  string        // "" while it is under way
}

// decide takes note of the pick.
func (f *flow) decide(endpoint *catalog.Endpoint) {
	now := f.g.now()
	meter := f.g.placer.Load(endpoint.ID)
	age, reported := meter.ReportAge(now)
	if !reported {
		age = -1
	}
	f.decisions = append(f.decisions, decision{
		endpoint: endpoint.ID,
		load:     meter.Load(now, int64(max(1, endpoint.Slots))),
		slots:    endpoint.Slots,
		age:      age,
	})
}

// conclude takes note of what became of the last pick.
func (f *flow) conclude(outcome error) {
	last := &f.decisions[len(f.decisions)-1]
	var refusal *refusalError
	switch {
	case errors.As(outcome, &refusal):
		last.outcome = refusal.reason
	case outcome != nil:
		last.outcome = outcome.Error()
	}
}

func (d decision) String() string {
	report := "no report"
	if d.age >= 0 {
		report = "report " + d.age.Round(time.Millisecond).String() + " old"
	}
	return fmt.Sprintf("%s load %d of %d, %s: %s", d.endpoint, d.load, d.slots, report, d.outcome)
}

// addDecisions writes the picks that led to no answer, and what the one that did was picked by.
func (f *flow) addDecisions(entry *log.Entry) *log.Entry {
	var failed []string
	for _, d := range f.decisions {
		if d.outcome != "" {
			failed = append(failed, d.String())
		}
	}
	if len(failed) > 0 {
		entry.Strs("failed_picks", failed)
	}
	if len(f.decisions) == 0 {
		return entry
	}
	if last := f.decisions[len(f.decisions)-1]; last.outcome == "" {
		entry.Int64("load", last.load).Int("slots", last.slots).Dur("report_age", last.age)
	}
	return entry
}

// avoid takes note of an endpoint that failed a request.
func (g *Gateway) avoid(endpoint *catalog.Endpoint) {
	now := g.now()
	if until, changed := g.placer.Failed(endpoint.ID, now); changed {
		g.logger.Info().Str("endpoint", string(endpoint.ID)).Dur("for", until-now).Msg("endpoint avoided after a failure")
	}
}

// sound takes note of an endpoint that answered.
func (g *Gateway) sound(endpoint *catalog.Endpoint) {
	if g.placer.Succeeded(endpoint.ID) {
		g.logger.Info().Str("endpoint", string(endpoint.ID)).Msg("endpoint answers again")
	}
}
