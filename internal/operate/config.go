package operate

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

const publishTries = 5

// Apply checks the folder's configuration and puts it in force. A publication whose answer was lost is asked for
// again under the same id, so that it happens once.
func (o *Operator) Apply(ctx context.Context, folder string) error {
	set, err := config.ReadFolder(folder)
	if err != nil {
		return err
	}
	return o.publish(ctx, set)
}

func (o *Operator) publish(ctx context.Context, set config.Set) error {
	publisher := config.Publisher{Tables: o.Platform, Objects: o.Platform}
	publishID := core.NewID()
	var head config.Head
	var err error
	for range publishTries {
		head, err = publisher.Publish(ctx, set, publishID)
		if !fault.Is(err, fault.PlatformDown) {
			break
		}
		time.Sleep(pollInterval)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.Out, "generation %d is accepted (%s)\n", head.Generation, head.Digest)
	return err
}

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
