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

// Publisher publishes configurations to the platform's tables and object store. A publication writes, in this order: its
// own record, which fixes the generation that it is based on; the snapshot; the history row of the current head, if a
// publisher crashed before writing it; the head, on condition that it is unchanged; and the history row of the new head.
// The head alone determines the current configuration.
type Publisher struct {
	Tables  platform.Tables
	Objects platform.Objects
}

// Publication is a request to publish a set. Its ID makes it idempotent: retried under the same ID, by any process and at
// any time, it takes effect at most once.
type Publication struct {
	Set      Set
	ID       string
	By       string
	Note     string
	AtUnixS  int64
	Restores core.Generation
}

// publicationRecord is the table row of a publication.
type publicationRecord struct {
	Base   core.Generation `json:"base"` // generation that the publication is based on
	Digest string          `json:"digest"`
}

// ConflictError reports that another publication, based on the same generation, was accepted first.
type ConflictError struct {
	Base   core.Generation // generation that both publications are based on
	Winner Head            // head of the accepted publication
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

// Publish checks the set and publishes it as the next generation. A set that is based on a snapshot is accepted only
// while that snapshot is current. After an error of kind PlatformUnavailable the outcome is unknown; a retry under
// the same publish ID determines it.
func (p Publisher) Publish(ctx context.Context, set Set, publishID string) (Head, error) {
	return p.Commit(ctx, Publication{Set: set, ID: publishID})
}

// Commit is like Publish, and also records who published the set, when and why.
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

// loadOrCreateRecord returns the publication's record, which the first attempt writes. The record fixes the generation
// that the publication is based on. A later attempt under the same ID therefore cannot publish the set a second time,
// on top of other publications.
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

// PublicationBase returns the generation that a publication is based on, and whether an earlier attempt wrote its
// record.
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

// putSnapshot stores the snapshot. After an error it reads the object back, since only the response may have been lost.
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

// updateHead replaces the head with next if its row still has the given revision. If the response is lost or the
// revision has changed, it reads the head back to determine the outcome.
func (p Publisher) updateHead(ctx context.Context, next Head, revision platform.Revision) (Head, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Head{}, err
	}
	results, err := p.Tables.Write(ctx, []platform.Write{{Table: configTable, Key: headKey, Value: value, IfRevision: revision}})
	if err == nil && results[0].Written {
		_ = p.recordHistory(ctx, next) // after an error, the next publication writes the row
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

// resolveOutcome returns the accepted head if the publication of next took effect, or else an error that wraps a
// ConflictError. The current head must have moved past the generation that next is based on; if it is older, the error
// is of kind Corrupted.
func (p Publisher) resolveOutcome(ctx context.Context, current, next Head) (Head, error) {
	if current.Generation < next.Generation {
		message := fmt.Sprintf("the head is at generation %d, older than generation %d on which this publication is based", current.Generation, next.Generation-1)
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
		message := fmt.Sprintf("the configuration is based on generation %d, but %d is in force", base, current.Generation)
		return fault.New(fault.Conflict, message, "base it on the generation that lovagectl config show prints")
	}
	winner, err := headAt(ctx, p.Tables, current, base+1)
	if err != nil {
		return err
	}
	conflict := &ConflictError{Base: base, Winner: winner}
	return fault.Wrap(conflict, fault.Conflict, conflict.Error()+" meanwhile, nothing of yours was published", "see what differs with lovagectl config diff, then apply again")
}

// recordHistory writes the head's history row unless it exists.
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

// Rebase returns the set based on the generation: its publication is accepted only while that generation is current.
// Generation 0 means that nothing has been published yet.
func (s Set) Rebase(generation core.Generation) Set {
	s.follows = generation
	s.derived = true
	return s
}
