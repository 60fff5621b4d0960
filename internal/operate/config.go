package operate

import (
	"context"
	"fmt"
	"slices"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

// SetDomain takes a failure domain out of service or brings it back.
func (o *Operator) SetDomain(ctx context.Context, name core.FailureDomain, out bool) error {
	head, _, err := config.ReadHead(ctx, o.Platform)
	if err != nil {
		return err
	}
	snapshot, err := config.Fetch(ctx, o.Platform, head)
	if err != nil {
		return err
	}
	set := snapshot.Set
	at := slices.IndexFunc(set.FailureDomains, func(domain config.FailureDomain) bool { return domain.Name == name })
	if at < 0 {
		return fault.New(fault.NotFound, fmt.Sprintf("there is no failure domain %q", name), "name one of the configuration")
	}
	set.FailureDomains[at].Out = out
	return o.publish(ctx, set)
}
