package burn

import (
	"fmt"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
)

const latencyErrorBudget = 0.05 // fraction of values that may exceed a duration objective, which is stated for 95%

// Objective is the quantity that a service-level objective limits.
type Objective string

// Objectives that the burn report covers.
const (
	ObjectiveAvailability   Objective = "availability"
	ObjectiveFirstToken     Objective = "first token"
	ObjectiveBetweenTokens  Objective = "between tokens"
	ObjectiveTimeToReplicas Objective = "time to replicas"
)

// Row holds the burn rates of one objective of one service, for one workspace or for all of them.
type Row struct {
	Service    core.Service   `json:"service"`
	Workspace  core.Workspace `json:"workspace"` // AllWorkspaces for the total of the service
	Objective  Objective      `json:"objective"`
	Target     string         `json:"target"`
	Rates      []Rate         `json:"rates"`       // one for each window, in the order of Aggregate.Windows
	BudgetLeft float64        `json:"budget_left"` // unspent fraction of the longest window's error budget; negative when overspent
}

// Rate is the burn rate over one window: the fraction of events that missed the objective, divided by the fraction that
// may miss it. A rate of 1 spends exactly the error budget of the window.
type Rate struct {
	Burn   float64 `json:"burn"`
	Total  uint64  `json:"total"` // requests or recorded values; Burn is 0 if there are none
	Missed uint64  `json:"missed"`
}

// AllWorkspaces is the workspace of a row that covers all workspaces of a service.
const AllWorkspaces core.Workspace = "*"

// Aggregate merges the statistics of all entries for each series and window. It is not safe for concurrent use.
type Aggregate struct {
	Windows []time.Duration
	series  map[Key][]*Stats
}

// NewAggregate returns an empty aggregate for the windows.
func NewAggregate(windows []time.Duration) *Aggregate {
	return &Aggregate{Windows: windows, series: make(map[Key][]*Stats)}
}

// Add merges the response of one entry, whose windows are in the order of a.Windows. It fails with fault.Corrupted if
// the response cannot be decoded.
func (a *Aggregate) Add(response WindowsResponse) error {
	for _, series := range response.Series {
		for i, encoded := range series.Windows {
			if i >= len(a.Windows) {
				break
			}
			stats, err := encoded.Decode()
			if err != nil {
				return err
			}
			a.stats(series.Key, i).Merge(stats)
			if series.Workspace != "" {
				a.stats(Key{Service: series.Service, Workspace: AllWorkspaces}, i).Merge(stats)
			}
		}
	}
	return nil
}

func (a *Aggregate) stats(key Key, window int) *Stats {
	if a.series[key] == nil {
		perWindow := make([]*Stats, len(a.Windows))
		for i := range perWindow {
			perWindow[i] = &Stats{}
		}
		a.series[key] = perWindow
	}
	return a.series[key][window]
}

// Rows computes the burn rates of the configured objectives. The rows of a service start with the total of all
// workspaces, followed by each workspace that sent requests, by name.
func (a *Aggregate) Rows(set config.Set) []Row {
	workspaces := make(map[core.Workspace]config.Workspace)
	for _, workspace := range set.Workspaces {
		workspaces[workspace.Name] = workspace
	}
	rows := []Row{}
	for _, service := range set.Services {
		rows = append(rows, a.objectiveRows(Key{Service: service.Name, Workspace: AllWorkspaces}, service.Objectives)...)
		for _, key := range a.workspaceKeys(service.Name) {
			objectives := overrideObjectives(service.Objectives, workspaces[key.Workspace].Objectives[service.Name])
			objectives.ReplicasS = 0
			rows = append(rows, a.objectiveRows(key, objectives)...)
		}
	}
	return rows
}

func (a *Aggregate) workspaceKeys(service core.Service) []Key {
	var keys []Key
	for key := range a.series {
		if key.Service == service && key.Workspace != "" && key.Workspace != AllWorkspaces {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// overrideObjectives returns the objectives of the service, with the overrides of the workspace applied. A zero override
// leaves the value of the service. The time to replicas cannot be overridden.
func overrideObjectives(objectives, overrides config.Objectives) config.Objectives {
	if overrides.Availability != 0 {
		objectives.Availability = overrides.Availability
	}
	if overrides.FirstTokenMS != 0 {
		objectives.FirstTokenMS = overrides.FirstTokenMS
	}
	if overrides.BetweenTokensMS != 0 {
		objectives.BetweenTokensMS = overrides.BetweenTokensMS
	}
	return objectives
}

func (a *Aggregate) objectiveRows(key Key, objectives config.Objectives) []Row {
	var rows []Row
	if share := objectives.Availability; share != 0 {
		rows = append(rows, a.newRow(key, ObjectiveAvailability, fmt.Sprintf("%g%%", share*100), func(stats *Stats) Rate {
			return newRate(stats.Total, stats.Bad, 1-share)
		}))
	}
	if limit := objectives.FirstTokenMS; limit != 0 {
		rows = append(rows, a.durationRow(key, ObjectiveFirstToken, MeasureFirstToken, limit, "ms"))
	}
	if limit := objectives.BetweenTokensMS; limit != 0 {
		rows = append(rows, a.durationRow(key, ObjectiveBetweenTokens, MeasureBetweenTokens, limit, "ms"))
	}
	if limit := objectives.ReplicasS; limit != 0 {
		row := a.durationRow(Key{Service: key.Service}, ObjectiveTimeToReplicas, MeasureTimeToReplicas, limit, "s")
		row.Workspace = key.Workspace
		rows = append(rows, row)
	}
	return rows
}

func (a *Aggregate) durationRow(key Key, objective Objective, measure Measure, limit int, unit string) Row {
	return a.newRow(key, objective, fmt.Sprintf("95%% in %d %s", limit, unit), func(stats *Stats) Rate {
		total, above := stats.CountAbove(measure, int64(limit))
		return newRate(total, above, latencyErrorBudget)
	})
}

func (a *Aggregate) newRow(key Key, objective Objective, target string, rate func(*Stats) Rate) Row {
	row := Row{Service: key.Service, Workspace: key.Workspace, Objective: objective, Target: target, BudgetLeft: 1}
	longest := time.Duration(-1)
	for i, window := range a.Windows {
		stats := &Stats{}
		if perWindow := a.series[key]; perWindow != nil {
			stats = perWindow[i]
		}
		burnRate := rate(stats)
		row.Rates = append(row.Rates, burnRate)
		if window > longest {
			longest = window
			row.BudgetLeft = 1 - burnRate.Burn
		}
	}
	return row
}

func newRate(total, missed uint64, allowed float64) Rate {
	rate := Rate{Total: total, Missed: missed}
	if total > 0 {
		rate.Burn = float64(missed) / float64(total) / allowed
	}
	return rate
}

// MaxBurn returns the highest burn rate over all windows of the row.
func (r Row) MaxBurn() float64 {
	worst := 0.0
	for _, rate := range r.Rates {
		worst = max(worst, rate.Burn)
	}
	return worst
}
