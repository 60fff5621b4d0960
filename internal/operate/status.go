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

const statusTimeout = 2 * time.Second

// NodeStatus is what one host says of itself. Err is set when it gave no answer.
type NodeStatus struct {
	Host   core.Host
	Record wire.Record
	Err    error
}

// Gather asks every host of the platform's list for its record.
func (o *Operator) Gather(ctx context.Context) ([]NodeStatus, error) {
	hosts, err := o.Platform.ListHosts(ctx)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(hosts, func(a, b core.Host) int { return cmp.Compare(a.ID, b.ID) })
	return iter.Map(hosts, func(host *core.Host) NodeStatus {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		status := NodeStatus{Host: *host}
		status.Err = o.Peers.Call(ctx, host.ControlAddress, wire.MethodStatus, nil, &status.Record)
		return status
	}), nil
}

// Status prints every host, its generation and its versions.
func (o *Operator) Status(ctx context.Context) error {
	nodes, err := o.Gather(ctx)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "HOST\tROLE\tFAILURE DOMAIN\tPHASE\tGENERATION\tVERSION")
	for _, node := range nodes {
		phase := string(node.Record.Phase)
		if node.Err != nil {
			phase = "no answer"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\n", node.Host.ID, node.Host.Role, node.Host.FailureDomain, phase, node.Record.Generation, describeVersions(node.Record.Versions))
	}
	return table.Flush()
}

func describeVersions(versions []wire.VersionStatus) string {
	parts := make([]string, 0, len(versions))
	for _, version := range versions {
		parts = append(parts, fmt.Sprintf("%.12s %s %d/%d", version.Version, version.Phase, version.Have, version.Total))
	}
	return strings.Join(parts, ", ")
}

// Wait returns once every host holds the head's generation and serves the version that it asks of the host. It ends
// with an error that names the hosts which do not when the context ends.
func (o *Operator) Wait(ctx context.Context) error {
	start := time.Now()
	for {
		late, err := o.late(ctx)
		if err == nil && len(late) == 0 {
			_, err = fmt.Fprintf(o.Out, "in force and serving everywhere after %.2f s\n", time.Since(start).Seconds())
			return err
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.Expired, "not yet in force at "+strings.Join(late, ", "), "read these hosts' logs and wait again")
		case <-time.After(pollInterval):
		}
	}
}

func (o *Operator) late(ctx context.Context) ([]string, error) {
	head, _, err := config.ReadHead(ctx, o.Platform)
	if err != nil {
		return nil, err
	}
	snapshot, err := config.Fetch(ctx, o.Platform, head)
	if err != nil {
		return nil, err
	}
	nodes, err := o.Gather(ctx)
	if err != nil {
		return nil, err
	}
	var late []string
	for _, node := range nodes {
		if !current(snapshot, node) {
			late = append(late, string(node.Host.ID))
		}
	}
	return late, nil
}

func current(snapshot *config.Snapshot, node NodeStatus) bool {
	if node.Err != nil || node.Record.Generation < snapshot.Generation {
		return false
	}
	wanted := snapshot.VersionAt(node.Host.ID)
	if node.Host.Role != core.RoleAgent || wanted == "" {
		return true
	}
	return slices.ContainsFunc(node.Record.Versions, func(status wire.VersionStatus) bool {
		return status.Version == wanted && status.Phase == wire.VersionServing
	})
}
