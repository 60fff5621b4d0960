package entry

import (
	"sync"

	"github.com/lovageglade/lovageglade/internal/claim"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/retry"
	"github.com/lovageglade/lovageglade/internal/suspect"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// outcomeState is the state shared by all requests that determines their outcomes.
type outcomeState struct {
	claims   *claim.Claimer
	suspects *suspect.Registry
	marks    *marks

	firstByteTimes *retry.PerService[retry.FirstByteTimes]
}

func newOutcomeState(tables platform.Tables) *outcomeState {
	return &outcomeState{
		claims:   claim.NewClaimer(tables),
		suspects: suspect.NewRegistry(),
		marks:    &marks{latest: make(map[core.HostID]incarnationMark)},

		firstByteTimes: retry.NewFirstByteTimes(),
	}
}

// marks stores the latest mark received from each agent.
type marks struct {
	mu     sync.Mutex
	latest map[core.HostID]incarnationMark
}

type incarnationMark struct {
	incarnation core.Incarnation
	mark        wire.Mark
}

func (m *marks) update(host core.HostID, incarnation core.Incarnation, mark wire.Mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.latest[host]
	if known.incarnation == incarnation && known.mark >= mark {
		return
	}
	m.latest[host] = incarnationMark{incarnation: incarnation, mark: mark}
}

// latestOf returns the latest mark of the given incarnation of an agent, or 0 if there is none. 0 is older than any
// mark.
func (m *marks) latestOf(host core.HostID, incarnation core.Incarnation) wire.Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.latest[host]
	if known.incarnation != incarnation {
		return 0
	}
	return known.mark
}

func errNotReached(cause error) error {
	return fault.Wrap(cause, fault.Interrupted, "the endpoint could not be reached", "send it again")
}
