package operate

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

const maxDomainAttempts = 10 // attempts to change a failure domain while other publications conflict

// SetDomain takes a failure domain out of service or brings it back. If another publication is accepted in the meantime,
// the change is retried on top of it, since it is urgent and affects nothing else.
func (o *Operator) SetDomain(ctx context.Context, name core.FailureDomain, out bool) error {
	var err error
	for range maxDomainAttempts {
		err = o.trySetDomain(ctx, name, out)
		if !fault.Is(err, fault.Conflict) {
			return err
		}
	}
	return err
}

func (o *Operator) trySetDomain(ctx context.Context, name core.FailureDomain, out bool) error {
	head, _, err := config.ReadHead(ctx, o.Platform)
	if err != nil {
		return err
	}
	snapshot, err := config.Fetch(ctx, o.Platform, head)
	if err != nil {
		return err
	}
	set := snapshot.Set
	index := slices.IndexFunc(set.FailureDomains, func(domain config.FailureDomain) bool { return domain.Name == name })
	if index < 0 {
		return fault.New(fault.NotFound, fmt.Sprintf("there is no failure domain %q", name), "name a failure domain of the configuration")
	}
	if set.FailureDomains[index].Out == out {
		return o.printf("nothing to change: %s is %s in generation %d\n", name, serviceState(out), head.Generation)
	}
	set.FailureDomains[index].Out = out
	return o.publish(ctx, set)
}

func serviceState(out bool) string {
	if out {
		return "out"
	}
	return "in service"
}

// WaitDomain returns once every host has confirmed the current configuration and, if out is set, no host of the failure
// domain runs requests. If the context ends first, the error is of kind DeadlinePassed and names the pending hosts.
func (o *Operator) WaitDomain(ctx context.Context, name core.FailureDomain, out bool) error {
	start := time.Now()
	var pending []string
	for {
		hosts, err := o.pendingHosts(ctx, name, out)
		if err == nil {
			pending = hosts
		}
		if err == nil && len(pending) == 0 {
			return o.printf("%s is %s at all hosts after %.2f s%s\n", name, serviceState(out), time.Since(start).Seconds(), drainedSuffix(out))
		}
		select {
		case <-ctx.Done():
			return pendingHostsError(name, out, pending, err)
		case <-time.After(pollInterval):
		}
	}
}

func drainedSuffix(out bool) string {
	if out {
		return "; no work is left in it"
	}
	return ""
}

func pendingHostsError(name core.FailureDomain, out bool, pending []string, cause error) error {
	if len(pending) == 0 && cause != nil {
		return fault.Wrap(cause, fault.DeadlinePassed, "it is not known which hosts confirmed", "wait again with a longer --timeout")
	}
	message := fmt.Sprintf("%s is not yet %s at: %s", name, serviceState(out), strings.Join(pending, ", "))
	return fault.New(fault.DeadlinePassed, message, "read these hosts' logs, or have the platform drop those that are gone, and run the command again")
}

// pendingHosts returns the hosts that have not confirmed or still run requests, each with the reason.
func (o *Operator) pendingHosts(ctx context.Context, name core.FailureDomain, out bool) ([]string, error) {
	head, _, err := config.ReadHead(ctx, o.Platform)
	if err != nil {
		return nil, err
	}
	nodes, err := o.Gather(ctx)
	if err != nil {
		return nil, err
	}
	var pending []string
	for _, node := range nodes {
		if reason := pendingReason(node, head.Generation, name, out); reason != "" {
			pending = append(pending, fmt.Sprintf("%s (%s)", node.Host.ID, reason))
		}
	}
	return pending, nil
}

func pendingReason(node NodeStatus, generation core.Generation, name core.FailureDomain, out bool) string {
	switch {
	case node.Err != nil:
		return "gave no answer"
	case node.Record.Generation < generation:
		return fmt.Sprintf("holds generation %d", node.Record.Generation)
	case out && node.Host.FailureDomain == name && node.Record.Running > 0:
		return fmt.Sprintf("runs %d requests", node.Record.Running)
	}
	return ""
}
