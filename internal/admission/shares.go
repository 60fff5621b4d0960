package admission

import "github.com/lovageglade/lovageglade/internal/core"

// maxLead is how many grants a workspace may be ahead of the one that got the fewest while both wait. Within it
// priority decides.
const maxLead = 4

// shares counts the grants of each workspace since the queue was last empty.
type shares map[core.Workspace]int

// join brings in a workspace that begins to wait. It starts level with the one that got the fewest.
func (s shares) join(workspace core.Workspace, waiters []waiter) {
	for _, w := range waiters {
		if w.workspace == workspace {
			return
		}
	}
	s[workspace] = max(s[workspace], s.fewest(waiters))
}

func (s shares) fewest(waiters []waiter) int {
	if len(waiters) == 0 {
		return 0
	}
	fewest := s[waiters[0].workspace]
	for _, w := range waiters {
		fewest = min(fewest, s[w.workspace])
	}
	return fewest
}

// mayGo tells whether a waiter of the workspace may be granted next.
func (s shares) mayGo(workspace core.Workspace, waiters []waiter) bool {
	return s[workspace] <= s.fewest(waiters)+maxLead
}

func (s shares) granted(workspace core.Workspace) { s[workspace]++ }
