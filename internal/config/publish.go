package config

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/platform"
)

// Publisher publishes configurations through the platform's tables and object store. A publication writes, in this
// order: the publication's own row, which fixes the generation that it follows; the snapshot; the history row of the
// head in force, if a publisher that died left it out; the head, on condition that it is unchanged; and the new
// head's history row. The head alone decides what is in force.
type Publisher struct {
	Tables  platform.Tables
	Objects platform.Objects
}

// Publication is one intent to put a set in force. Its ID makes it idempotent: published again under the same ID, by
// any process and at any time, it takes effect at most once.
type Publication struct {
	Set      Set
	ID       string
	By       string
	Note     string
	AtUnixS  int64
	Restores core.Generation
}

// publicationRecord is what the platform keeps of a publication.
type publicationRecord struct {
	Base   core.Generation `json:"base"` // the generation that it follows
	Digest string          `json:"digest"`
}

// ConflictError says that another publication took the generation that this one asked for.
type ConflictError struct {
	Base   core.Generation // the generation that both followed
	Winner Head            // the head that followed it
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d was accepted from %s", e.Winner.Generation, describePublisher(e.Winner))
}

func describePublisher(head Head) string {
	if head.By == "" {
		return "publication " + head.PublishID
	}
	return fmt.Sprintf("%s (publication %s)", head.By, head.PublishID)
}

// Publish checks the set and puts it in force under the next generation. A set that was changed from a snapshot is
// accepted only while that snapshot is in force. After an error of kind PlatformDown it is not known whether the set is in
// force: publishing again under the same id settles it.
func (p Publisher) Publish(ctx context.Context, set Set, publishID string) (Head, error) {
	return p.Commit(ctx, Publication{Set: set, ID: publishID})
}

// Commit is Publish with the publication's origin.
func (p Publisher) Commit(ctx context.Context, publication Publication) (Head, error) {
	if err := Check(publication.Set); err != nil {
		return Head{}, err
	}
	raw, digest, err := Encode(publication.Set)
	if err != nil {
		return Head{}, err
	}
	record, err := p.loadOrCreateRecord(ctx, publication, digest)
	if err != nil {
		return Head{}, err
	}
	current, revision, err := ReadHead(ctx, p.Tables)
	if err != nil {
		return Head{}, err
	}
	next := Head{
		Generation: record.Base + 1,
		Digest:     digest,
		PublishID:  publication.ID,
		By:         publication.By,
		Note:       publication.Note,
		AtUnixS:    publication.AtUnixS,
		Restores:   publication.Restores,
	}
	if current.Generation != record.Base {
		return p.resolveOutcome(ctx, current, next)
	}
	if err := p.putSnapshot(ctx, digest, raw); err != nil {
		return Head{}, err
	}
	if err := p.recordHistory(ctx, current); err != nil {
		return Head{}, err
	}
	return p.updateHead(ctx, next, revision)
}

// loadOrCreateRecord returns the publication's row, which the first try writes. It fixes the generation that the publication
// follows, so that a later try under the same ID cannot publish a second time after others have.
func (p Publisher) loadOrCreateRecord(ctx context.Context, publication Publication, digest string) (publicationRecord, error) {
	row, err := p.Tables.Get(ctx, configTable, publicationPrefix+publication.ID)
	if err != nil {
		return publicationRecord{}, err
	}
	if row.Revision == 0 {
		row, err = p.createRecord(ctx, publication, publicationPrefix+publication.ID, digest)
		if err != nil {
			return publicationRecord{}, err
		}
	}
	record, err := decodePublication(row)
	if err == nil && record.Digest != digest {
		err = fault.New(fault.Conflict, "the publish id "+publication.ID+" belongs to another configuration", "publish under a new id")
	}
	return record, err
}

func decodePublication(row platform.Row) (publicationRecord, error) {
	var record publicationRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return record, fault.Wrap(err, fault.BadConfig, "the row config/"+row.Key+" cannot be read", "publish under another id")
	}
	return record, nil
}

// PublicationBase returns the generation that a publication follows, and whether any try of it left its row.
func PublicationBase(ctx context.Context, tables platform.Tables, publishID string) (core.Generation, bool, error) {
	if publishID == "" {
		return 0, false, nil
	}
	row, err := tables.Get(ctx, configTable, publicationPrefix+publishID)
	if err != nil || row.Revision == 0 {
		return 0, false, err
	}
	record, err := decodePublication(row)
	return record.Base, err == nil, err
}

func (p Publisher) createRecord(ctx context.Context, publication Publication, key, digest string) (platform.Row, error) {
	current, _, err := ReadHead(ctx, p.Tables)
	if err != nil {
		return platform.Row{}, err
	}
	set := publication.Set
	if set.derived && set.follows != current.Generation {
		return platform.Row{}, p.conflictError(ctx, current, set.follows)
	}
	value, err := json.Marshal(publicationRecord{Base: current.Generation, Digest: digest})
	if err != nil {
		return platform.Row{}, err
	}
	results, err := p.Tables.Write(ctx, []platform.Write{{Table: configTable, Key: key, Value: value}})
	if err == nil && results[0].Written {
		return platform.Row{Key: key, Value: value, Revision: results[0].Row.Revision}, nil
	}
	row, readErr := p.Tables.Get(ctx, configTable, key)
	if readErr == nil && row.Revision > 0 {
		return row, nil
	}
	return platform.Row{}, cmp.Or(err, readErr)
}

// putSnapshot stores the snapshot. When the answer is lost it reads back whether the snapshot is there.
func (p Publisher) putSnapshot(ctx context.Context, digest string, raw []byte) error {
	name := objectPrefix + digest
	err := p.Objects.PutObject(ctx, name, raw)
	if err == nil {
		return nil
	}
	stored, readErr := p.Objects.GetObject(ctx, name)
	if readErr == nil && bytes.Equal(stored, raw) {
		return nil
	}
	return err
}

// updateHead moves the head to next on condition that its row still has the revision, and reads back what came of it
// when the answer was lost or the condition did not hold.
func (p Publisher) updateHead(ctx context.Context, next Head, revision platform.Revision) (Head, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Head{}, err
	}
	results, err := p.Tables.Write(ctx, []platform.Write{{Table: configTable, Key: headKey, Value: value, IfRevision: revision}})
	if err == nil && results[0].Written {
		_ = p.recordHistory(ctx, next) // the next publication writes it otherwise
		return next, nil
	}
	current, _, readErr := ReadHead(ctx, p.Tables)
	if readErr != nil {
		return Head{}, readErr
	}
	if current.Generation < next.Generation && err != nil {
		return Head{}, err
	}
	return p.resolveOutcome(ctx, current, next)
}

// resolveOutcome tells what became of a publication once the head has left the generation that it follows.
func (p Publisher) resolveOutcome(ctx context.Context, current, next Head) (Head, error) {
	if current.Generation < next.Generation {
		message := fmt.Sprintf("the head is at generation %d, before the %d that this publication follows", current.Generation, next.Generation-1)
		return Head{}, fault.New(fault.Corrupted, message, "restore the row config/head of the table service from the history")
	}
	accepted, err := headAt(ctx, p.Tables, current, next.Generation)
	if err != nil {
		return Head{}, err
	}
	if accepted.PublishID == next.PublishID {
		return accepted, nil
	}
	return Head{}, p.conflictError(ctx, current, next.Generation-1)
}

func (p Publisher) conflictError(ctx context.Context, current Head, base core.Generation) error {
	if current.Generation <= base {
		message := fmt.Sprintf("the configuration was made from generation %d and %d is in force", base, current.Generation)
		return fault.New(fault.Conflict, message, "make it from the generation that lovagectl config show prints")
	}
	winner, err := headAt(ctx, p.Tables, current, base+1)
	if err != nil {
		return err
	}
	conflict := &ConflictError{Base: base, Winner: winner}
	return fault.Wrap(conflict, fault.Conflict, conflict.Error()+" meanwhile, nothing of yours was published", "see what differs with lovagectl config diff, then apply again")
}

// recordHistory writes the head's history row unless it is there.
func (p Publisher) recordHistory(ctx context.Context, head Head) error {
	if head.Generation == 0 {
		return nil
	}
	value, err := json.Marshal(head)
	if err != nil {
		return err
	}
	key := historyKey(head.Generation)
	_, err = p.Tables.Write(ctx, []platform.Write{{Table: configTable, Key: key, Value: value}})
	if err == nil {
		return nil
	}
	row, readErr := p.Tables.Get(ctx, configTable, key)
	if readErr == nil && row.Revision > 0 {
		return nil
	}
	return err
}

// Rebase returns the set as one that was made from the generation: it is accepted only while that one is in force;
// generation 0 stands for none.
func (s Set) Rebase(generation core.Generation) Set {
	s.follows = generation
	s.derived = true
	return s
}
