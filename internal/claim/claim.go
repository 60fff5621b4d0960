// Package claim keeps one row for each Idempotency-Key in the platform's table service. The row is written before the
// first dispatch and names the attempt that may run the request; it is moved only after that attempt's agent has said
// that it did not and will not run.
package claim

import (
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Table is the name of the table that holds the claims.
const Table = "claims"

const maxWriteAttempts = 2 // writes of one claim whose answers may be lost in turn

// Key names a claim. Keys of different workspaces or services are different claims.
type Key struct {
	Workspace core.Workspace
	Service   core.Service
	Key       string
}

func (k Key) row() string {
	raw, _ := json.Marshal([]string{string(k.Workspace), string(k.Service), k.Key}) // strings always encode
	return string(raw)
}

// Content is what the fingerprint of a request covers.
type Content struct {
	Service     core.Service
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Fingerprint tells requests of different content apart.
func (c Content) Fingerprint() uint64 {
	digest := xxhash.New()
	raw, _ := json.Marshal([]string{string(c.Service), c.Method, c.Path, c.ContentType}) // strings always encode
	_, _ = digest.Write(raw)
	_, _ = digest.Write(c.Body)
	return digest.Sum64()
}

// Holder is the value of a claim: the one attempt that may run the request.
type Holder struct {
	Fingerprint uint64           `json:"fingerprint"`
	Attempt     core.AttemptID   `json:"attempt"`
	Host        core.Host        `json:"host"`
	Incarnation core.Incarnation `json:"incarnation"`
	Mark        wire.Mark        `json:"mark"`
}

// Standing is a claim as the platform has it. Revision 0 stands for no claim.
type Standing struct {
	Holder   Holder
	Revision platform.Revision
}

// Claimer reads and writes claims. It is safe for concurrent use.
type Claimer struct {
	tables  platform.Tables
	batcher *batcher
}

// NewClaimer returns a claimer over the table service.
func NewClaimer(tables platform.Tables) *Claimer {
	return &Claimer{tables: tables, batcher: newBatcher(tables)}
}

// Read returns the claim on the key.
func (c *Claimer) Read(ctx context.Context, key Key) (Standing, error) {
	row, err := c.tables.Get(ctx, Table, key.row())
	if err != nil {
		return Standing{}, err
	}
	return decode(row)
}

// Take writes the holder if the claim's revision is still the one given, and returns the claim that stands then: the
// holder's own, or the one that was there first. A write without an answer is read back, and written again if it has
// not taken effect; it may still do so after an error, so the holder's attempt must not be dispatched then.
func (c *Claimer) Take(ctx context.Context, key Key, holder Holder, revision platform.Revision) (Standing, error) {
	value, err := json.Marshal(holder)
	if err != nil {
		return Standing{}, err
	}
	write := platform.Write{Table: Table, Key: key.row(), Value: value, IfRevision: revision}
	for range maxWriteAttempts {
		var result platform.WriteResult
		result, err = c.batcher.write(ctx, write)
		if err == nil {
			return checkRevision(result.Row, revision)
		}
		current, readErr := c.Read(ctx, key)
		if readErr == nil && current.Revision > revision {
			return current, nil
		}
	}
	return Standing{}, err
}

// checkRevision returns the claim that stands after a write. A row that has gone back was removed while it was in use.
func checkRevision(row platform.Row, revision platform.Revision) (Standing, error) {
	if row.Revision < revision {
		return Standing{}, fault.New(fault.PlatformDown, "the claim row was removed while it was in use", "have the platform keep claim rows for longer than callers send a key again")
	}
	return decode(row)
}

func decode(row platform.Row) (Standing, error) {
	if row.Revision == 0 {
		return Standing{}, nil
	}
	record := Standing{Revision: row.Revision}
	if err := json.Unmarshal(row.Value, &record.Holder); err != nil {
		return Standing{}, fault.Wrap(err, fault.PlatformDown, "the claim row cannot be read", "run the same version at every entry")
	}
	return record, nil
}
