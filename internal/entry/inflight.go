package entry

import (
	"sync"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/routing"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// inFlight counts this entry's attempts under way at each endpoint, and keeps the load that each last reported.
type inFlight struct {
	mu     sync.Mutex
	counts map[core.HostID]int
	loads  map[core.HostID]wire.Load
}

func newInFlight() *inFlight {
	return &inFlight{counts: make(map[core.HostID]int), loads: make(map[core.HostID]wire.Load)}
}

func (f *inFlight) add(host core.HostID, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[host] += change
}

func (f *inFlight) report(host core.HostID, load wire.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[host] = load
}

// fill sets what is known of the candidates' load.
func (f *inFlight) fill(candidates []routing.Candidate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range candidates {
		host := candidates[i].Host.ID
		candidates[i].InFlight = f.counts[host]
		candidates[i].Reported = f.loads[host]
	}
}
