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

// outcomeState is what an entry knows over all requests that their outcomeState depend on.
type outcomeState struct {
	claims   *claim.Claimer
	suspects *suspect.Registry
	marks    *marks

	firstByteTimes *retry.PerService[retry.FirstBytes]
}

func newOutcomeState(tables platform.Tables) *outcomeState {
	return &outcomeState{
		claims:   claim.NewClaimer(tables),
		suspects: suspect.NewRegistry(),
		marks:    &marks{latest: make(map[core.HostID]incarnationMark)},

		firstByteTimes: retry.NewFirstBytes(),
	}
}

// marks keeps the latest time mark that each agent has sent.
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

// latestOf returns the latest mark of one life of an agent; 0 is older than any other.
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
