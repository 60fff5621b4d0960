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
	headTable    = "config"
	headKey      = "head"
	objectFolder = "config/"
)

// Head is the row that says which configuration is in force. It is the only thing that a publication changes.
type Head struct {
	Generation core.Generation `json:"generation"`
	Digest     string          `json:"digest"`
	PublishID  string          `json:"publish_id"`
}

// Publisher publishes configurations through the platform's tables and object store.
type Publisher struct {
	Tables  platform.Tables
	Objects platform.Objects
}

// ReadHead returns the head in force and the revision of its row. Before the first publication both are zero.
func ReadHead(ctx context.Context, tables platform.Tables) (Head, platform.Revision, error) {
	var head Head
	row, err := tables.Get(ctx, headTable, headKey)
	if err != nil || row.Revision == 0 {
		return head, 0, err
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, 0, fault.Wrap(err, fault.BadConfig, "the head row cannot be read", "restore the row config/head of the table service")
	}
	return head, row.Revision, nil
}

// Fetch reads the snapshot that the head names.
func Fetch(ctx context.Context, objects platform.Objects, head Head) (*Snapshot, error) {
	raw, err := objects.GetObject(ctx, objectFolder+head.Digest)
	if err != nil {
		return nil, err
	}
	return Decode(head.Generation, head.Digest, raw)
}

// Publish checks the set and puts it in force under the next generation. PublishID tells a lost answer from a lost
// race: publishing again under the same id after an error of kind PlatformDown does nothing twice.
func (p Publisher) Publish(ctx context.Context, set Set, publishID string) (Head, error) {
	if err := Check(set); err != nil {
		return Head{}, err
	}
	raw, digest, err := Encode(set)
	if err != nil {
		return Head{}, err
	}
	current, revision, err := ReadHead(ctx, p.Tables)
	if err != nil {
		return Head{}, err
	}
	if current.PublishID == publishID {
		return current, nil
	}
	if err := p.Objects.PutObject(ctx, objectFolder+digest, raw); err != nil {
		return Head{}, err
	}
	next := Head{Generation: current.Generation + 1, Digest: digest, PublishID: publishID}
	return p.advance(ctx, next, revision)
}

func (p Publisher) advance(ctx context.Context, next Head, revision platform.Revision) (Head, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Head{}, err
	}
	results, err := p.Tables.Write(ctx, []platform.Write{{Table: headTable, Key: headKey, Value: value, IfRevision: revision}})
	if err == nil && results[0].Written {
		return next, nil
	}
	standing, _, readErr := ReadHead(ctx, p.Tables)
	if readErr != nil {
		return Head{}, readErr
	}
	if standing.PublishID == next.PublishID {
		return standing, nil
	}
	if err != nil {
		return Head{}, err
	}
	message := fmt.Sprintf("generation %d was published meanwhile by %s", standing.Generation, standing.PublishID)
	return Head{}, fault.New(fault.Conflict, message, "run lovagectl config diff and apply again")
}
