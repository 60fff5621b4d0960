package operate

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/wire"
)

const (
	statusTimeout      = 2 * time.Second
	maxConcurrentCalls = 128 // enough that hosts that do not respond delay few others
)

// NodeStatus is the response of one host to a status call. Err is set if the host did not respond.
type NodeStatus struct {
	Host   core.Host
	Record wire.Record
	Err    error
}

// Gather requests the status of every host in the host list and returns them ordered by host ID.
func (o *Operator) Gather(ctx context.Context) ([]NodeStatus, error) {
	hosts, err := o.listHosts(ctx)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(hosts, func(a, b core.Host) int { return cmp.Compare(a.ID, b.ID) })
	mapper := iter.Mapper[core.Host, NodeStatus]{MaxGoroutines: maxConcurrentCalls}
	return mapper.Map(hosts, func(host *core.Host) NodeStatus {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		status := NodeStatus{Host: *host}
		status.Err = o.Peers.Call(ctx, host.ControlAddress, wire.MethodStatus, nil, &status.Record)
		return status
	}), nil
}

// StatusReport is the JSON output of Status.
type StatusReport struct {
	Generation core.Generation `json:"generation"` // current generation of the platform
	Hosts      []HostStatus    `json:"hosts"`
}

// HostStatus is the line of one host in a StatusReport.
type HostStatus struct {
	Host          core.HostID          `json:"host"`
	Role          core.Role            `json:"role"`
	FailureDomain core.FailureDomain   `json:"failure_domain"`
	Phase         string               `json:"phase"` // "no answer" if the host did not respond
	Generation    core.Generation      `json:"generation"`
	Versions      []wire.VersionStatus `json:"versions,omitempty"`
	Error         string               `json:"error,omitempty"`
}

const phaseNoAnswer = "no answer"

// Status prints every host with its generation and versions.
func (o *Operator) Status(ctx context.Context, asJSON bool) error {
	snapshot, err := o.latestSnapshot(ctx)
	if err != nil {
		return err
	}
	nodes, err := o.Gather(ctx)
	if err != nil {
		return err
	}
	report := StatusReport{Generation: snapshot.Generation, Hosts: []HostStatus{}}
	for _, node := range nodes {
		report.Hosts = append(report.Hosts, describeNode(node))
	}
	if asJSON {
		return o.printJSON(report)
	}
	return o.printStatus(report)
}

func describeNode(node NodeStatus) HostStatus {
	status := HostStatus{
		Host:          node.Host.ID,
		Role:          node.Host.Role,
		FailureDomain: node.Host.FailureDomain,
		Phase:         string(node.Record.Phase),
		Generation:    node.Record.Generation,
		Versions:      node.Record.Versions,
	}
	if node.Err != nil {
		status.Phase = phaseNoAnswer
		status.Error = fault.Explain(node.Err)
	}
	return status
}

func (o *Operator) printStatus(report StatusReport) error {
	table := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "HOST\tROLE\tFAILURE DOMAIN\tPHASE\tGENERATION\tVERSION")
	inForce, unresponsive := 0, 0
	for _, host := range report.Hosts {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\n", host.Host, host.Role, host.FailureDomain, host.Phase, host.Generation, describeVersions(host.Versions))
		switch {
		case host.Phase == phaseNoAnswer:
			unresponsive++
		case host.Generation >= report.Generation:
			inForce++
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return o.printf("generation %d is in force at %d of %d hosts; %d gave no answer\n", report.Generation, inForce, len(report.Hosts), unresponsive)
}

func describeVersions(versions []wire.VersionStatus) string {
	parts := make([]string, 0, len(versions))
	for _, version := range versions {
		parts = append(parts, fmt.Sprintf("%.12s %s %d/%d", version.Version, version.Phase, version.Have, version.Total))
	}
	return strings.Join(parts, ", ")
}

// Wait returns once every host holds the current generation and serves the version assigned to it, and every entry routes
// requests to all hosts in service. If the context ends first, the error is of kind DeadlinePassed and names the pending
// hosts.
func (o *Operator) Wait(ctx context.Context) error {
	start := time.Now()
	for {
		pending, err := o.hostsNotUpToDate(ctx)
		if err == nil && len(pending) == 0 {
			return o.printf("in force and serving everywhere after %.2f s\n", time.Since(start).Seconds())
		}
		select {
		case <-ctx.Done():
			return notUpToDateError(pending, err)
		case <-time.After(pollInterval):
		}
	}
}

func notUpToDateError(pending []string, err error) error {
	if len(pending) == 0 && err != nil {
		return fault.Wrap(err, fault.DeadlinePassed, "it is not known which hosts serve the configuration", "wait again with a longer --timeout")
	}
	return fault.New(fault.DeadlinePassed, "not yet in force at "+strings.Join(pending, ", "), "read these hosts' logs and wait again")
}

func (o *Operator) hostsNotUpToDate(ctx context.Context) ([]string, error) {
	snapshot, err := o.currentSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	nodes, err := o.Gather(ctx)
	if err != nil {
		return nil, err
	}
	var pending []string
	for _, node := range nodes {
		if !isUpToDate(snapshot, node) {
			pending = append(pending, string(node.Host.ID))
		}
	}
	if len(pending) > 0 {
		return pending, nil
	}
	return o.entriesNotRouting(ctx, snapshot, nodes), nil
}

func isUpToDate(snapshot *config.Snapshot, node NodeStatus) bool {
	if node.Err != nil || node.Record.Generation < snapshot.Generation {
		return false
	}
	wanted := snapshot.VersionForHost(node.Host.ID)
	if node.Host.Role != core.RoleAgent || wanted == "" {
		return true
	}
	return slices.ContainsFunc(node.Record.Versions, func(status wire.VersionStatus) bool {
		return status.Version == wanted && status.Phase == wire.VersionServing
	})
}
