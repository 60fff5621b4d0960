package catalog

import "github.com/lovageglade/lovageglade/internal/core"

// Settings of admission.
const (
	AdmissionAuto = "auto" // as the configuration declares
	AdmissionOn   = "on"
	AdmissionOff  = "off"
)

// Ranked reports whether the service's requests are admitted by rank. With AdmissionAuto that holds if the routes to the service
// declare aims, and they or the workspaces declare more than one rank.
func (x *Index) Ranked(service core.Service, setting string) bool {
	switch setting {
	case AdmissionOn:
		return true
	case AdmissionOff:
		return false
	}
	return x.ranked[service]
}

// rankedServices returns the services whose routes declare aims and several ranks.
func rankedServices(configuration *Configuration) map[core.Service]bool {
	workspacesDiffer := false
	for _, workspace := range configuration.Workspaces {
		workspacesDiffer = workspacesDiffer || workspace.Rank != nil
	}
	firstRank := make(map[core.Service]int)
	ranked := make(map[core.Service]bool)
	for _, route := range configuration.Routes {
		if route.Objective == 0 {
			continue
		}
		for _, backend := range route.Backends {
			first, known := firstRank[backend.Service]
			if !known {
				first = route.Priority
				firstRank[backend.Service] = first
			}
			ranked[backend.Service] = ranked[backend.Service] || workspacesDiffer || route.Priority != first
		}
	}
	return ranked
}

// RankOf returns the rank of a request, where 0 is the most urgent: the workspace's if it has one, else the route's.
func RankOf(route *Route, workspace *Workspace) int {
	if workspace != nil && workspace.Rank != nil {
		return *workspace.Rank
	}
	return route.Priority
}
