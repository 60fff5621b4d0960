package admission

import "github.com/lovageglade/lovageglade/internal/core"

// maxGrantLead is the maximum lead in grants of a waiting workspace over the waiting workspace with the fewest.
// Within this lead, priority decides.
const maxGrantLead = 4

// grantCounts holds the number of grants per workspace since the queue was last empty.
type grantCounts map[core.Workspace]int

// addWorkspace is called before a waiter of the workspace is added. A workspace without waiters gets at least as many
// grants as the waiting workspace with the fewest, so that it cannot save up grants while it is idle.
func (s grantCounts) addWorkspace(workspace core.Workspace, waiters []waiter) {
	for _, w := range waiters {
		if w.workspace == workspace {
			return
		}
	}
	s[workspace] = max(s[workspace], s.fewest(waiters))
}

// fewest returns the lowest number of grants of a waiting workspace.
func (s grantCounts) fewest(waiters []waiter) int {
	if len(waiters) == 0 {
		return 0
	}
	fewest := s[waiters[0].workspace]
	for _, w := range waiters {
		fewest = min(fewest, s[w.workspace])
	}
	return fewest
}

// mayBeGranted reports whether a waiter of the workspace may be admitted next.
func (s grantCounts) mayBeGranted(workspace core.Workspace, waiters []waiter) bool {
	return s[workspace] <= s.fewest(waiters)+maxGrantLead
}

func (s grantCounts) recordGrant(workspace core.Workspace) { s[workspace]++ }
