package admission

import "github.com/lovageglade/lovageglade/internal/core"

// maxGrantLead is how many grants a workspace may be ahead of the one that got the fewest while both wait. Within it
// priority decides.
const maxGrantLead = 4

// grantCounts counts the grants of each workspace since the queue was last empty.
type grantCounts map[core.Workspace]int

// addWorkspace brings in a workspace that begins to wait. It starts level with the one that got the fewest.
func (s grantCounts) addWorkspace(workspace core.Workspace, waiters []waiter) {
	for _, w := range waiters {
		if w.workspace == workspace {
			return
		}
	}
	s[workspace] = max(s[workspace], s.fewest(waiters))
}

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

// mayBeGranted tells whether a waiter of the workspace may be granted next.
func (s grantCounts) mayBeGranted(workspace core.Workspace, waiters []waiter) bool {
	return s[workspace] <= s.fewest(waiters)+maxGrantLead
}

func (s grantCounts) recordGrant(workspace core.Workspace) { s[workspace]++ }
