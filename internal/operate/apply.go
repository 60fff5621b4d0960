package operate

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
)

const maxPublishAttempts = 5

// PublishOptions holds the metadata and the conditions of a publication.
type PublishOptions struct {
	By        string
	Note      string
	PublishID string          // "" generates a new one
	Base      core.Generation // generation that must be current; 0 means any
}

// CheckFolder checks the configuration in the folder. It prints the warnings, or all findings as JSON, and returns the
// problems as one error.
func (o *Operator) CheckFolder(folder string, asJSON bool) error {
	set, err := config.ReadFolder(folder)
	if err != nil {
		return err
	}
	findings := config.FindProblems(set)
	if asJSON {
		if err := o.printJSON(findings); err != nil {
			return err
		}
		return findings.Err()
	}
	o.printWarnings(findings)
	if err := findings.Err(); err != nil {
		return err
	}
	return o.printf("the configuration is sound: %s\n", describeSet(set))
}

func (o *Operator) printWarnings(findings config.Findings) {
	for _, warning := range findings.Warnings {
		_ = o.printf("warning: %s\n", warning)
	}
}

func describeSet(set config.Set) string {
	return fmt.Sprintf("%d failure domains, %d workspaces, %d models, %d versions, %d services, %d rules",
		len(set.FailureDomains), len(set.Workspaces), len(set.Models), len(set.Versions), len(set.Services), len(set.Rules))
}

// Apply checks the configuration in the folder and publishes it. Failure domains that are out of service stay out. If the
// configuration equals the current one, nothing is published.
func (o *Operator) Apply(ctx context.Context, folder string, options PublishOptions) error {
	set, err := config.ReadFolder(folder)
	if err != nil {
		return err
	}
	findings := config.FindProblems(set)
	o.printWarnings(findings)
	if err := findings.Err(); err != nil {
		return err
	}
	current, err := o.currentSnapshot(ctx)
	if err != nil {
		return err
	}
	base, exists, err := config.PublicationBase(ctx, o.Platform, options.PublishID)
	if err != nil {
		return err
	}
	if !exists {
		base = cmp.Or(options.Base, current.Generation)
	}
	set, err = o.rebase(ctx, set, base)
	if err != nil {
		return err
	}
	if !exists && base == current.Generation && base > 0 && len(config.Diff(current.Set, set)) == 0 {
		return o.printf("generation %d holds this configuration already; nothing was published\n", base)
	}
	return o.commit(ctx, config.Publication{Set: set}, options)
}

// rebase returns the set based on the generation. Failure domains that are out in that generation stay out.
func (o *Operator) rebase(ctx context.Context, set config.Set, base core.Generation) (config.Set, error) {
	baseSnapshot, err := o.snapshotAt(ctx, base)
	if err != nil {
		return set, err
	}
	return o.keepDomainsOut(set, baseSnapshot.Set).Rebase(base), nil
}

// currentSnapshot returns the current snapshot, or an empty one of generation 0 before the first publication.
func (o *Operator) currentSnapshot(ctx context.Context) (*config.Snapshot, error) {
	head, _, err := config.ReadHead(ctx, o.Platform)
	if err != nil {
		return nil, err
	}
	if head.Generation == 0 {
		return &config.Snapshot{}, nil
	}
	return config.Fetch(ctx, o.Platform, head)
}

// keepDomainsOut returns a copy of the set in which every failure domain that is out in the current set is out, too. It
// prints each failure domain that it changes.
func (o *Operator) keepDomainsOut(set, current config.Set) config.Set {
	set.FailureDomains = slices.Clone(set.FailureDomains)
	for i := range set.FailureDomains {
		domain := &set.FailureDomains[i]
		isOut := slices.ContainsFunc(current.FailureDomains, func(other config.FailureDomain) bool {
			return other.Name == domain.Name && other.Out
		})
		if isOut && !domain.Out {
			domain.Out = true
			_ = o.printf("failure domain %s stays out; bring it back with lovagectl domain in %s\n", domain.Name, domain.Name)
		}
	}
	return set
}

// publish publishes a set that is based on the current snapshot.
func (o *Operator) publish(ctx context.Context, set config.Set) error {
	return o.commit(ctx, config.Publication{Set: set}, PublishOptions{By: o.By})
}

// commit publishes under one publish ID, with retries while the platform does not respond, and prints the outcome.
func (o *Operator) commit(ctx context.Context, publication config.Publication, options PublishOptions) error {
	publication.ID = options.PublishID
	if publication.ID == "" {
		publication.ID = core.NewID()
	}
	publication.By = options.By
	publication.Note = options.Note
	publication.AtUnixS = time.Now().Unix()
	head, err := o.commitWithRetries(ctx, publication)
	if fault.Is(err, fault.PlatformUnavailable) {
		message := "it is not known whether the configuration was accepted"
		remedy := "run the command again with --publish-id " + publication.ID + ", which publishes at most once"
		return fault.Wrap(err, fault.PlatformUnavailable, message, remedy)
	}
	if conflict, isConflict := fault.FindCause[*config.ConflictError](err); isConflict {
		o.printConflict(ctx, conflict)
	}
	if err != nil {
		return err
	}
	return o.printf("generation %d is accepted (%s)\n", head.Generation, head.Digest)
}

func (o *Operator) commitWithRetries(ctx context.Context, publication config.Publication) (config.Head, error) {
	publisher := config.Publisher{Tables: o.Platform, Objects: o.Platform}
	var head config.Head
	var err error
	for range maxPublishAttempts {
		head, err = publisher.Commit(ctx, publication)
		if !fault.Is(err, fault.PlatformUnavailable) {
			return head, err
		}
		select {
		case <-ctx.Done():
			return head, err
		case <-time.After(pollInterval):
		}
	}
	return head, err
}

// printConflict prints what the accepted publication changed. It prints nothing if the snapshots cannot be read.
func (o *Operator) printConflict(ctx context.Context, conflict *config.ConflictError) {
	before, err := o.snapshotAt(ctx, conflict.Base)
	if err != nil {
		return
	}
	after, err := config.Fetch(ctx, o.Platform, conflict.Winner)
	if err != nil {
		return
	}
	_ = o.printf("generation %d changed, from generation %d:\n", conflict.Winner.Generation, conflict.Base)
	_ = o.printChanges(config.Diff(before.Set, after.Set))
}

// snapshotAt returns the snapshot of an accepted generation. The snapshot of generation 0 is empty.
func (o *Operator) snapshotAt(ctx context.Context, generation core.Generation) (*config.Snapshot, error) {
	if generation == 0 {
		return &config.Snapshot{}, nil
	}
	head, err := config.HeadAt(ctx, o.Platform, generation)
	if err != nil {
		return nil, err
	}
	return config.Fetch(ctx, o.Platform, head)
}

// Rollback publishes the configuration of an older generation as a new generation. Generation 0 means the one before the
// current generation. Failure domains that are out of service stay out.
func (o *Operator) Rollback(ctx context.Context, generation core.Generation, options PublishOptions) error {
	current, err := o.currentSnapshot(ctx)
	if err != nil {
		return err
	}
	if generation == 0 && current.Generation > 1 {
		generation = current.Generation - 1
	}
	if generation == 0 || generation >= current.Generation {
		message := fmt.Sprintf("there is no older generation %d; the one in force is %d", generation, current.Generation)
		return fault.New(fault.NotFound, message, "name an older one that lovagectl config history lists")
	}
	older, err := o.snapshotAt(ctx, generation)
	if err != nil {
		return err
	}
	set := o.keepDomainsOut(older.Set, current.Set).Rebase(current.Generation)
	if err := o.printChanges(config.Diff(current.Set, set)); err != nil {
		return err
	}
	return o.commit(ctx, config.Publication{Set: set, Restores: generation}, options)
}
