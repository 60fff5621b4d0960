package burn

import (
	"fmt"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
)

const slowShare = 0.05 // share of the values that may miss an objective of time: 95 in 100 must meet it

// Objective names what a service level is stated for.
type Objective string

// The objectives.
const (
	Availability         Objective = "availability"
	ObjectiveFirstToken  Objective = "first token"
	ObjectiveBetween     Objective = "between tokens"
	ObjectiveReplicaTime Objective = "time to replicas"
)

// Row is one objective's burn over each window.
type Row struct {
	Service    core.Service   `json:"service"`
	Workspace  core.Workspace `json:"workspace"` // "*" for all workspaces together
	Objective  Objective      `json:"objective"`
	Target     string         `json:"target"`
	Rates      []Rate         `json:"rates"`       // in order of the windows
	BudgetLeft float64        `json:"budget_left"` // share of the longest window's budget, negative when overspent
}

// Rate is a burn rate over one window: the share that missed the objective over the share that may. At 1 the budget is
// spent exactly when the window ends.
type Rate struct {
	Burn   float64 `json:"burn"`
	Total  uint64  `json:"total"` // requests or values; without any the rate is 0
	Missed uint64  `json:"missed"`
}

// AllWorkspaces stands for all workspaces of a service together.
const AllWorkspaces core.Workspace = "*"

// Merged holds the sums of all entries over each window.
type Merged struct {
	Windows []time.Duration
	series  map[Key][]*Sum
}

// NewMerged returns empty sums over the windows.
func NewMerged(windows []time.Duration) *Merged {
	return &Merged{Windows: windows, series: make(map[Key][]*Sum)}
}

// Add merges one entry's answer.
func (m *Merged) Add(answer WindowsAnswer) error {
	for _, series := range answer.Series {
		for i, encoded := range series.Windows {
			if i >= len(m.Windows) {
				break
			}
			sum, err := encoded.Decode()
			if err != nil {
				return err
			}
			m.sum(series.Key, i).Merge(sum)
			if series.Workspace != "" {
				m.sum(Key{Service: series.Service, Workspace: AllWorkspaces}, i).Merge(sum)
			}
		}
	}
	return nil
}

func (m *Merged) sum(key Key, window int) *Sum {
	if m.series[key] == nil {
		sums := make([]*Sum, len(m.Windows))
		for i := range sums {
			sums[i] = &Sum{}
		}
		m.series[key] = sums
	}
	return m.series[key][window]
}

// Rows compares the sums with the configuration's objectives: for each service first all workspaces together, then
// each workspace that called.
func (m *Merged) Rows(set config.Set) []Row {
	workspaces := make(map[core.Workspace]config.Workspace)
	for _, workspace := range set.Workspaces {
		workspaces[workspace.Name] = workspace
	}
	rows := []Row{}
	for _, service := range set.Services {
		rows = append(rows, m.rowsOf(Key{Service: service.Name, Workspace: AllWorkspaces}, service.Objectives)...)
		for _, key := range m.workspacesOf(service.Name) {
			objectives := override(service.Objectives, workspaces[key.Workspace].Objectives[service.Name])
			objectives.ReplicasS = 0
			rows = append(rows, m.rowsOf(key, objectives)...)
		}
	}
	return rows
}

func (m *Merged) workspacesOf(service core.Service) []Key {
	var keys []Key
	for key := range m.series {
		if key.Service == service && key.Workspace != "" && key.Workspace != AllWorkspaces {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// override returns the service's objectives with those in place that the workspace states.
func override(objectives, own config.Objectives) config.Objectives {
	if own.Availability != 0 {
		objectives.Availability = own.Availability
	}
	if own.FirstTokenMS != 0 {
		objectives.FirstTokenMS = own.FirstTokenMS
	}
	if own.BetweenTokensMS != 0 {
		objectives.BetweenTokensMS = own.BetweenTokensMS
	}
	return objectives
}

func (m *Merged) rowsOf(key Key, objectives config.Objectives) []Row {
	var rows []Row
	if share := objectives.Availability; share != 0 {
		rows = append(rows, m.row(key, Availability, fmt.Sprintf("%g%%", share*100), func(sum *Sum) Rate {
			return newRate(sum.Total, sum.Bad, 1-share)
		}))
	}
	if limit := objectives.FirstTokenMS; limit != 0 {
		rows = append(rows, m.timeRow(key, ObjectiveFirstToken, FirstToken, limit, "ms"))
	}
	if limit := objectives.BetweenTokensMS; limit != 0 {
		rows = append(rows, m.timeRow(key, ObjectiveBetween, BetweenTokens, limit, "ms"))
	}
	if limit := objectives.ReplicasS; limit != 0 {
		row := m.timeRow(Key{Service: key.Service}, ObjectiveReplicaTime, Replicas, limit, "s")
		row.Workspace = key.Workspace
		rows = append(rows, row)
	}
	return rows
}

func (m *Merged) timeRow(key Key, objective Objective, measure Measure, limit int, unit string) Row {
	return m.row(key, objective, fmt.Sprintf("95%% in %d %s", limit, unit), func(sum *Sum) Rate {
		total, above := sum.Count(measure, int64(limit))
		return newRate(total, above, slowShare)
	})
}

func (m *Merged) row(key Key, objective Objective, target string, rate func(*Sum) Rate) Row {
	row := Row{Service: key.Service, Workspace: key.Workspace, Objective: objective, Target: target, BudgetLeft: 1}
	longest := time.Duration(-1)
	for i, window := range m.Windows {
		sum := &Sum{}
		if sums := m.series[key]; sums != nil {
			sum = sums[i]
		}
		current := rate(sum)
		row.Rates = append(row.Rates, current)
		if window > longest {
			longest = window
			row.BudgetLeft = 1 - current.Burn
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

// Worst returns the highest burn rate of the row.
func (r Row) Worst() float64 {
	worst := 0.0
	for _, rate := range r.Rates {
		worst = max(worst, rate.Burn)
	}
	return worst
}
