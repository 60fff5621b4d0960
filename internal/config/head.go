package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/platform"
)

const (
	configTable       = "config"
	headKey           = "head"
	objectPrefix      = "config/"
	historyPrefix     = "history/"
	publicationPrefix = "publication/"

	generationDigits  = 18  // digits of a generation in the key of its history row
	historyPageRows   = 100 // history rows that one scan reads
	historyPageDigits = 2   // trailing digits of a generation that vary within a page
)

// Head identifies the current configuration. A publication takes effect by updating the row that holds the head. The
// history keeps the head of each generation.
type Head struct {
	Generation core.Generation `json:"generation"`
	Digest     string          `json:"digest"`
	PublishID  string          `json:"publish_id"`
	By         string          `json:"by,omitempty"`        // operator who published
	Note       string          `json:"note,omitempty"`      // reason for the publication
	AtUnixS    int64           `json:"at_unix_s,omitempty"` // Unix time in seconds by the operator's clock; not used for ordering
	Restores   core.Generation `json:"restores,omitempty"`  // generation that a rollback restored, or 0
}

// ReadHead returns the current head and the revision of its row. Both are zero before the first publication.
func ReadHead(ctx context.Context, tables platform.Tables) (Head, platform.Revision, error) {
	row, err := tables.Get(ctx, configTable, headKey)
	if err != nil || row.Revision == 0 {
		return Head{}, 0, err
	}
	head, err := decodeHead(row)
	return head, row.Revision, err
}

func decodeHead(row platform.Row) (Head, error) {
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, fault.Wrap(err, fault.BadConfig, "the row config/"+row.Key+" cannot be read", "restore the row in the table service")
	}
	return head, nil
}

// Fetch reads the snapshot of the head from the object store. The error is of kind NotFound if nothing was published yet.
func Fetch(ctx context.Context, objects platform.Objects, head Head) (*Snapshot, error) {
	if head.Generation == 0 {
		return nil, fault.New(fault.NotFound, "no configuration was published yet", "publish one with lovagectl config apply")
	}
	raw, err := objects.GetObject(ctx, objectPrefix+head.Digest)
	if err != nil {
		return nil, err
	}
	return Decode(head.Generation, head.Digest, raw)
}

// HeadAt returns the head of a generation, which is the current head or one in the history. The error is of kind
// NotFound if the generation was never accepted or is missing from the history.
func HeadAt(ctx context.Context, tables platform.Tables, generation core.Generation) (Head, error) {
	current, _, err := ReadHead(ctx, tables)
	if err != nil {
		return Head{}, err
	}
	return headAt(ctx, tables, current, generation)
}

func headAt(ctx context.Context, tables platform.Tables, current Head, generation core.Generation) (Head, error) {
	if generation == current.Generation && generation > 0 {
		return current, nil
	}
	if generation == 0 || generation > current.Generation {
		message := fmt.Sprintf("generation %d was never accepted; the one in force is %d", generation, current.Generation)
		return Head{}, fault.New(fault.NotFound, message, "name one that lovagectl config history lists")
	}
	row, err := tables.Get(ctx, configTable, historyKey(generation))
	if err != nil {
		return Head{}, err
	}
	if row.Revision == 0 {
		message := fmt.Sprintf("the history has no row of generation %d", generation)
		return Head{}, fault.New(fault.NotFound, message, "name another generation of lovagectl config history")
	}
	return decodeHead(row)
}

func historyKey(generation core.Generation) string {
	return fmt.Sprintf("%s%0*d", historyPrefix, generationDigits, generation)
}

// History returns the heads of at most limit generations, newest first.
func History(ctx context.Context, tables platform.Tables, limit int) ([]Head, error) {
	current, _, err := ReadHead(ctx, tables)
	if err != nil || current.Generation == 0 || limit < 1 {
		return nil, err
	}
	heads := []Head{current}
	for page := int64(current.Generation) / historyPageRows; page >= 0 && len(heads) < limit; page-- {
		prefix := fmt.Sprintf("%s%0*d", historyPrefix, generationDigits-historyPageDigits, page)
		rows, err := tables.Scan(ctx, configTable, prefix)
		if err != nil {
			return nil, err
		}
		if heads, err = appendOlder(heads, rows); err != nil {
			return nil, err
		}
	}
	return heads[:min(limit, len(heads))], nil
}

// appendOlder appends the heads of the rows that are older than the last element of heads. The rows are in ascending
// order of generation.
func appendOlder(heads []Head, rows []platform.Row) ([]Head, error) {
	for i := len(rows) - 1; i >= 0; i-- {
		head, err := decodeHead(rows[i])
		if err != nil {
			return nil, err
		}
		if head.Generation < heads[len(heads)-1].Generation {
			heads = append(heads, head)
		}
	}
	return heads, nil
}
