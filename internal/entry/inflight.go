package entry

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/retry"
	"github.com/lovageglade/lovageglade/internal/routing"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// inFlight keeps what routing needs over all requests: the endpoints of the latest view, their loads, and the retry
// budgets.
type inFlight struct {
	start   time.Time
	meters  *routing.Meters
	budgets *retry.PerService[retry.Budget]
	index   *indexCache
}

func newInFlight() *inFlight {
	meters := routing.NewMeters()
	return &inFlight{
		start:   time.Now(),
		meters:  meters,
		budgets: retry.NewBudgets(),
		index:   &indexCache{meters: meters},
	}
}

// now returns the time on the clock of the load reports.
func (f *inFlight) now() time.Duration { return time.Since(f.start) }

// add counts this entry's attempts at the endpoint.
func (f *inFlight) add(host core.HostID, change int) { f.meters.ForHost(host).AddInFlight(change) }

// report takes over the load that the endpoint reported.
func (f *inFlight) report(host core.HostID, load wire.Load) { f.meters.ForHost(host).RecordReport(load, f.now()) }
