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

// outcomes is what an entry knows over all requests that their outcomes depend on.
type outcomes struct {
	claims   *claim.Claimer
	suspects *suspect.Registry
	marks    *marks

	firstBytes *retry.PerService[retry.FirstByteTimes]
}

func newOutcomes(tables platform.Tables) *outcomes {
	return &outcomes{
		claims:   claim.NewClaimer(tables),
		suspects: suspect.NewRegistry(),
		marks:    &marks{latest: make(map[core.HostID]lifeMark)},

		firstBytes: retry.NewFirstByteTimes(),
	}
}

// marks keeps the latest time mark that each agent has sent.
type marks struct {
	mu     sync.Mutex
	latest map[core.HostID]lifeMark
}

type lifeMark struct {
	incarnation core.Incarnation
	mark        wire.Mark
}

func (m *marks) heard(host core.HostID, incarnation core.Incarnation, mark wire.Mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.latest[host]
	if known.incarnation == incarnation && known.mark >= mark {
		return
	}
	m.latest[host] = lifeMark{incarnation: incarnation, mark: mark}
}

// of returns the latest mark of one life of an agent; 0 is older than any other.
func (m *marks) of(host core.HostID, incarnation core.Incarnation) wire.Mark {
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
