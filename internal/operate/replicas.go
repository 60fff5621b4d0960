package operate

import (
	"cmp"
	"context"
	"errors"
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

// ReplicaStatus counts the hosts of one failure domain by their progress with a version.
type ReplicaStatus struct {
	Version       string             `json:"version"` // name in the configuration
	Manifest      core.VersionID     `json:"manifest"`
	FailureDomain core.FailureDomain `json:"failure_domain"`
	Wanted        int                `json:"wanted"`
	Fetching      int                `json:"fetching"`
	Verified      int                `json:"verified"`
	Serving       int                `json:"serving"`
	Failed        int                `json:"failed"`
	NoAnswer      int                `json:"no_answer"`
	Chunks        float64            `json:"chunks"`                // fraction of chunks verified, averaged over the wanted replicas
	RemainingS    float64            `json:"remaining_s,omitempty"` // estimated seconds until the slowest host has fetched the version
	Reasons       []string           `json:"reasons,omitempty"`     // distinct reasons for failures and missing answers
}

// replicaHost is a host that must run a version, with the progress that it reports.
type replicaHost struct {
	id       core.HostID
	domain   core.FailureDomain
	version  config.Version
	progress []wire.VersionProgress
	err      error
}

// Replicas returns the status of the named version in each failure domain. An empty name means all versions. The error is
// of kind NotFound if no rule assigns the named version.
func (o *Operator) Replicas(ctx context.Context, name string) ([]ReplicaStatus, error) {
	snapshot, err := o.currentSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	wanted := wantedReplicas(snapshot, name)
	if name != "" && len(wanted) == 0 {
		return nil, fault.New(fault.NotFound, fmt.Sprintf("no rule assigns a version %q", name), "name a version of the configuration that a rule assigns")
	}
	hosts, err := o.Platform.ListHosts(ctx)
	if err != nil {
		return nil, err
	}
	addresses := make(map[core.HostID]string, len(hosts))
	for _, host := range hosts {
		addresses[host.ID] = host.ControlAddress
	}
	iter.ForEach(wanted, func(host *replicaHost) {
		host.progress, host.err = o.fetchProgress(ctx, addresses[host.id])
	})
	return countReplicas(wanted), nil
}

func (o *Operator) fetchProgress(ctx context.Context, address string) ([]wire.VersionProgress, error) {
	if address == "" {
		return nil, errors.New("not in the platform's host list")
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var progress []wire.VersionProgress
	err := o.Peers.Call(ctx, address, wire.MethodVersions, struct{}{}, &progress)
	return progress, err
}

// wantedReplicas returns the hosts that must run the named version. An empty name means all versions.
func wantedReplicas(snapshot *config.Snapshot, name string) []replicaHost {
	var wanted []replicaHost
	for _, version := range snapshot.Set.Versions {
		if name != "" && version.Name != name {
			continue
		}
		for _, service := range snapshot.Set.Services {
			for _, endpoint := range service.Endpoints {
				if snapshot.VersionForHost(endpoint.Host) == version.Manifest {
					wanted = append(wanted, replicaHost{id: endpoint.Host, domain: endpoint.FailureDomain, version: version})
				}
			}
		}
	}
	return wanted
}

func countReplicas(hosts []replicaHost) []ReplicaStatus {
	var counted []ReplicaStatus
	for _, host := range hosts {
		index := slices.IndexFunc(counted, func(r ReplicaStatus) bool {
			return r.Manifest == host.version.Manifest && r.FailureDomain == host.domain
		})
		if index < 0 {
			index = len(counted)
			counted = append(counted, ReplicaStatus{Version: host.version.Name, Manifest: host.version.Manifest, FailureDomain: host.domain})
		}
		counted[index].add(host)
	}
	slices.SortStableFunc(counted, func(a, b ReplicaStatus) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	return counted
}

func (r *ReplicaStatus) add(host replicaHost) {
	verified := 0.0
	switch progress := host.versionProgress(); {
	case host.err != nil:
		r.NoAnswer++
		r.addReason(string(host.id) + " gave no answer")
	case progress == nil:
		r.Fetching++
	default:
		verified = r.addProgress(host.id, *progress)
	}
	r.Chunks = (r.Chunks*float64(r.Wanted) + verified) / float64(r.Wanted+1)
	r.Wanted++
}

// addProgress counts the host's progress and returns the fraction of its chunks that are verified.
func (r *ReplicaStatus) addProgress(id core.HostID, progress wire.VersionProgress) float64 {
	switch progress.Phase {
	case wire.VersionServing:
		r.Serving++
	case wire.VersionVerified, wire.VersionLoading:
		r.Verified++
	case wire.VersionFailed:
		r.Failed++
		r.addReason(string(id) + ": " + progress.Reason)
	default:
		r.Fetching++
		r.RemainingS = max(r.RemainingS, progress.RemainingS)
	}
	if progress.Total == 0 {
		return 0
	}
	return float64(progress.Have) / float64(progress.Total)
}

func (r *ReplicaStatus) addReason(reason string) {
	if !slices.Contains(r.Reasons, reason) {
		r.Reasons = append(r.Reasons, reason)
	}
}

// versionProgress returns the host's progress with the wanted version, or nil if the host has not reported any.
func (h replicaHost) versionProgress() *wire.VersionProgress {
	for i := range h.progress {
		if h.progress[i].Version == h.version.Manifest {
			return &h.progress[i]
		}
	}
	return nil
}

// VersionStatus prints the status of the named version in each failure domain. An empty name means all versions.
func (o *Operator) VersionStatus(ctx context.Context, name string, asJSON bool) error {
	replicas, err := o.Replicas(ctx, name)
	if err != nil {
		return err
	}
	if asJSON {
		return o.printJSON(replicas)
	}
	return o.printReplicas(replicas)
}

func (o *Operator) printReplicas(replicas []ReplicaStatus) error {
	table := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "VERSION\tFAILURE DOMAIN\tWANTED\tFETCHING\tVERIFIED\tSERVING\tFAILED\tNO ANSWER\tCHUNKS\tREMAINING")
	for _, r := range replicas {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f%%\t%s\n",
			r.Version, r.FailureDomain, r.Wanted, r.Fetching, r.Verified, r.Serving, r.Failed, r.NoAnswer, r.Chunks*100, describeRemaining(r.RemainingS))
	}
	for _, r := range replicas {
		for _, reason := range r.Reasons {
			_, _ = fmt.Fprintf(table, "%s in %s: %s\n", r.Version, r.FailureDomain, reason)
		}
	}
	return table.Flush()
}

func describeRemaining(seconds float64) string {
	if seconds <= 0 {
		return "-"
	}
	return time.Duration(seconds * float64(time.Second)).Round(time.Second).String()
}

// WaitVersion prints the progress of the named version until all its wanted replicas serve. An empty name means all
// versions. If the context ends first, the error is of kind DeadlinePassed and contains the last progress.
func (o *Operator) WaitVersion(ctx context.Context, name string) error {
	start := time.Now()
	lastLine := ""
	for {
		replicas, err := o.Replicas(ctx, name)
		if fault.Is(err, fault.NotFound) {
			return err
		}
		line := summarizeReplicas(replicas)
		if err == nil && line != lastLine {
			lastLine = line
			if err := o.printf("%6.1f s  %s\n", time.Since(start).Seconds(), line); err != nil {
				return err
			}
		}
		if err == nil && allServing(replicas) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.DeadlinePassed, "not every replica serves: "+cmp.Or(lastLine, "the platform gave no answer"), "read lovagectl version status and wait again")
		case <-time.After(pollInterval):
		}
	}
}

func allServing(replicas []ReplicaStatus) bool {
	return !slices.ContainsFunc(replicas, func(r ReplicaStatus) bool { return r.Serving < r.Wanted })
}

func summarizeReplicas(replicas []ReplicaStatus) string {
	parts := make([]string, 0, len(replicas))
	for _, r := range replicas {
		part := fmt.Sprintf("%s in %s: %d of %d serving, %.0f%% fetched", r.Version, r.FailureDomain, r.Serving, r.Wanted, r.Chunks*100)
		if r.Failed > 0 {
			part += fmt.Sprintf(", %d failed", r.Failed)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, "; ")
}
