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

// publicationRow is what the platform keeps of a publication.
type publicationRow struct {
	Base   core.Generation `json:"base"` // the generation that it follows
	Digest string          `json:"digest"`
}

// LostRace says that another publication took the generation that this one asked for.
type LostRace struct {
	Base   core.Generation // the generation that both followed
	Winner Head            // the head that followed it
}

// Error implements error.
func (l *LostRace) Error() string {
	return fmt.Sprintf("generation %d was accepted from %s", l.Winner.Generation, describeOrigin(l.Winner))
}

func describeOrigin(head Head) string {
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
	row, err := p.claim(ctx, publication, digest)
	if err != nil {
		return Head{}, err
	}
	standing, revision, err := ReadHead(ctx, p.Tables)
	if err != nil {
		return Head{}, err
	}
	next := Head{
		Generation: row.Base + 1,
		Digest:     digest,
		PublishID:  publication.ID,
		By:         publication.By,
		Note:       publication.Note,
		AtUnixS:    publication.AtUnixS,
		Restores:   publication.Restores,
	}
	if standing.Generation != row.Base {
		return p.settle(ctx, standing, next)
	}
	if err := p.putSnapshot(ctx, digest, raw); err != nil {
		return Head{}, err
	}
	if err := p.recordHistory(ctx, standing); err != nil {
		return Head{}, err
	}
	return p.advance(ctx, next, revision)
}

// claim returns the publication's row, which the first try writes. It fixes the generation that the publication
// follows, so that a later try under the same ID cannot publish a second time after others have.
func (p Publisher) claim(ctx context.Context, publication Publication, digest string) (publicationRow, error) {
	row, err := p.Tables.Get(ctx, configTable, publicationFolder+publication.ID)
	if err != nil {
		return publicationRow{}, err
	}
	if row.Revision == 0 {
		row, err = p.writeClaim(ctx, publication, publicationFolder+publication.ID, digest)
		if err != nil {
			return publicationRow{}, err
		}
	}
	claimed, err := decodePublication(row)
	if err == nil && claimed.Digest != digest {
		err = fault.New(fault.Conflict, "the publish id "+publication.ID+" belongs to another configuration", "publish under a new id")
	}
	return claimed, err
}

func decodePublication(row platform.Row) (publicationRow, error) {
	var claimed publicationRow
	if err := json.Unmarshal(row.Value, &claimed); err != nil {
		return claimed, fault.Wrap(err, fault.BadConfig, "the row config/"+row.Key+" cannot be read", "publish under another id")
	}
	return claimed, nil
}

// PublicationBase returns the generation that a publication follows, and whether any try of it left its row.
func PublicationBase(ctx context.Context, tables platform.Tables, publishID string) (core.Generation, bool, error) {
	if publishID == "" {
		return 0, false, nil
	}
	row, err := tables.Get(ctx, configTable, publicationFolder+publishID)
	if err != nil || row.Revision == 0 {
		return 0, false, err
	}
	claimed, err := decodePublication(row)
	return claimed.Base, err == nil, err
}

func (p Publisher) writeClaim(ctx context.Context, publication Publication, key, digest string) (platform.Row, error) {
	standing, _, err := ReadHead(ctx, p.Tables)
	if err != nil {
		return platform.Row{}, err
	}
	set := publication.Set
	if set.derived && set.follows != standing.Generation {
		return platform.Row{}, p.lostRace(ctx, standing, set.follows)
	}
	value, err := json.Marshal(publicationRow{Base: standing.Generation, Digest: digest})
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
	name := objectFolder + digest
	err := p.Objects.PutObject(ctx, name, raw)
	if err == nil {
		return nil
	}
	held, readErr := p.Objects.GetObject(ctx, name)
	if readErr == nil && bytes.Equal(held, raw) {
		return nil
	}
	return err
}

// advance moves the head to next on condition that its row still has the revision, and reads back what came of it
// when the answer was lost or the condition did not hold.
func (p Publisher) advance(ctx context.Context, next Head, revision platform.Revision) (Head, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return Head{}, err
	}
	results, err := p.Tables.Write(ctx, []platform.Write{{Table: configTable, Key: headKey, Value: value, IfRevision: revision}})
	if err == nil && results[0].Written {
		_ = p.recordHistory(ctx, next) // the next publication writes it otherwise
		return next, nil
	}
	standing, _, readErr := ReadHead(ctx, p.Tables)
	if readErr != nil {
		return Head{}, readErr
	}
	if standing.Generation < next.Generation && err != nil {
		return Head{}, err
	}
	return p.settle(ctx, standing, next)
}

// settle tells what became of a publication once the head has left the generation that it follows.
func (p Publisher) settle(ctx context.Context, standing, next Head) (Head, error) {
	if standing.Generation < next.Generation {
		message := fmt.Sprintf("the head is at generation %d, before the %d that this publication follows", standing.Generation, next.Generation-1)
		return Head{}, fault.New(fault.Corrupted, message, "restore the row config/head of the table service from the history")
	}
	taken, err := headAt(ctx, p.Tables, standing, next.Generation)
	if err != nil {
		return Head{}, err
	}
	if taken.PublishID == next.PublishID {
		return taken, nil
	}
	return Head{}, p.lostRace(ctx, standing, next.Generation-1)
}

func (p Publisher) lostRace(ctx context.Context, standing Head, base core.Generation) error {
	if standing.Generation <= base {
		message := fmt.Sprintf("the configuration was made from generation %d and %d is in force", base, standing.Generation)
		return fault.New(fault.Conflict, message, "make it from the generation that lovagectl config show prints")
	}
	winner, err := headAt(ctx, p.Tables, standing, base+1)
	if err != nil {
		return err
	}
	lost := &LostRace{Base: base, Winner: winner}
	return fault.Wrap(lost, fault.Conflict, lost.Error()+" meanwhile, nothing of yours was published", "see what differs with lovagectl config diff, then apply again")
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
