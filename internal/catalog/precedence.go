package catalog

const (
	// ranks is the number of ranks that are told apart for workspaces, and for routes.
	ranks = 10
	// LeastUrgent is the last place that Precedence returns.
	LeastUrgent = ranks*ranks - 1
)

// Precedence returns the place of a request among all that compete for an engine, where 0 is first. It orders by RankOf. The
// route's priority decides between requests of equal rank, so that it counts also where all workspaces have ranks.
func Precedence(route *Route, workspace *Workspace) int {
	return ranks*clampRank(RankOf(route, workspace)) + clampRank(route.Priority)
}

func clampRank(rank int) int { return min(max(0, rank), ranks-1) }
