package operate

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/lovageglade/lovageglade/internal/config"
	"github.com/lovageglade/lovageglade/internal/core"
)

func (o *Operator) printf(format string, values ...any) error {
	_, err := fmt.Fprintf(o.Out, format, values...)
	return err
}

func (o *Operator) printJSON(value any) error {
	encoder := json.NewEncoder(o.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (o *Operator) printChanges(changes []config.Change) error {
	if len(changes) == 0 {
		return o.printf("no difference\n")
	}
	for _, change := range changes {
		if err := o.printf("%s\n", change); err != nil {
			return err
		}
	}
	return nil
}

// ConfigDiff is the JSON output of Diff.
type ConfigDiff struct {
	Generation core.Generation `json:"generation"` // current generation
	Changes    []config.Change `json:"changes"`
}

// Diff prints the changes that applying the folder would make.
func (o *Operator) Diff(ctx context.Context, folder string, asJSON bool) error {
	set, err := config.ReadFolder(folder)
	if err != nil {
		return err
	}
	current, err := o.currentSnapshot(ctx)
	if err != nil {
		return err
	}
	if !asJSON {
		set = o.keepDomainsOut(set, current.Set)
		if err := o.printf("from generation %d:\n", current.Generation); err != nil {
			return err
		}
		return o.printChanges(config.Diff(current.Set, set))
	}
	return o.printJSON(ConfigDiff{Generation: current.Generation, Changes: config.Diff(current.Set, set)})
}

// Show prints the configuration of a generation as JSON that can be applied, or only its head. Generation 0 means the
// current one.
func (o *Operator) Show(ctx context.Context, generation core.Generation, headOnly bool) error {
	head, err := o.headForGeneration(ctx, generation)
	if err != nil {
		return err
	}
	if headOnly {
		return o.printJSON(head)
	}
	snapshot, err := config.Fetch(ctx, o.Platform, head)
	if err != nil {
		return err
	}
	return o.printJSON(snapshot.Set)
}

func (o *Operator) headForGeneration(ctx context.Context, generation core.Generation) (config.Head, error) {
	if generation != 0 {
		return config.HeadAt(ctx, o.Platform, generation)
	}
	head, _, err := config.ReadHead(ctx, o.Platform)
	return head, err
}

// History prints at most limit accepted generations, newest first.
func (o *Operator) History(ctx context.Context, limit int, asJSON bool) error {
	heads, err := config.History(ctx, o.Platform, limit)
	if err != nil {
		return err
	}
	if asJSON {
		return o.printJSON(heads)
	}
	table := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "GENERATION\tACCEPTED\tBY\tDIGEST\tNOTE")
	for _, head := range heads {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%.12s\t%s\n", head.Generation, formatTime(head.AtUnixS), orDash(head.By), head.Digest, describeNote(head))
	}
	return table.Flush()
}

func formatTime(unixS int64) string {
	if unixS == 0 {
		return "-"
	}
	return time.Unix(unixS, 0).UTC().Format(time.RFC3339)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func describeNote(head config.Head) string {
	if head.Restores == 0 {
		return orDash(head.Note)
	}
	return fmt.Sprintf("rollback to %d %s", head.Restores, head.Note)
}
