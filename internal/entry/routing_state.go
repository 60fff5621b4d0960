package entry

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/retry"
	"github.com/lovageglade/lovageglade/internal/routing"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// routingState is the state that routing shares between requests: the index of endpoints, their load, and the retry
// budgets.
type routingState struct {
	start      time.Time
	meters     *routing.LoadMeters
	budgets    *retry.PerService[retry.Budget]
	indexCache *indexCache
}

func newRoutingState() *routingState {
	meters := routing.NewLoadMeters()
	return &routingState{
		start:      time.Now(),
		meters:     meters,
		budgets:    retry.NewBudgets(),
		indexCache: &indexCache{meters: meters},
	}
}

// now returns the time on the clock that load reports are stamped with.
func (s *routingState) now() time.Duration { return time.Since(s.start) }

// addInFlight changes the number of this entry's attempts at the host.
func (s *routingState) addInFlight(host core.HostID, change int) {
	s.meters.ForHost(host).AddInFlight(change)
}

// recordLoad records the load that the host's agent reported.
func (s *routingState) recordLoad(host core.HostID, load wire.Load) {
	s.meters.ForHost(host).RecordReport(load, s.now())
}
