// Package claim stores one row for each Idempotency-Key in the platform's table service. The row is written before the
// first dispatch and names the only attempt that may run the request. It is changed to another attempt only after the
// agent of the first one has reported that it did not and will not run.
package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lovageglade/lovageglade/internal/core"
	"github.com/lovageglade/lovageglade/internal/fault"
	"github.com/lovageglade/lovageglade/internal/platform"
	"github.com/lovageglade/lovageglade/internal/wire"
)

// Table is the name of the table that stores the claims.
const Table = "claims"

const maxWriteAttempts = 2 // writes in one Acquire; the second only if the result of the first is lost

// Key identifies a claim. Equal keys of different workspaces or services are different claims.
type Key struct {
	Workspace core.Workspace
	Service   core.Service
	Key       string
}

func (k Key) row() string {
	raw, _ := json.Marshal([]string{string(k.Workspace), string(k.Service), k.Key}) // strings always encode
	return string(raw)
}

// Content is the part of a request that its fingerprint covers.
type Content struct {
	Service     core.Service
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Fingerprint returns a hash of all fields, which tells requests of different content apart.
func (c Content) Fingerprint() uint64 {
	digest := xxhash.New()
	raw, _ := json.Marshal([]string{string(c.Service), c.Method, c.Path, c.ContentType}) // strings always encode
	_, _ = digest.Write(raw)
	_, _ = digest.Write(c.Body)
	return digest.Sum64()
}

// Holder is the stored value of a claim: the only attempt that may run the request.
type Holder struct {
	Fingerprint uint64           `json:"fingerprint"`
	Attempt     core.AttemptID   `json:"attempt"`
	Host        core.Host        `json:"host"`
	Incarnation core.Incarnation `json:"incarnation"`
	Mark        wire.Mark        `json:"mark"`
}

// Record is a claim as stored, with its revision. Revision 0 means that there is no claim.
type Record struct {
	Holder   Holder
	Revision platform.Revision
}

// Claimer reads and writes claims. It is safe for concurrent use.
type Claimer struct {
	tables   platform.Tables
	batcher  *batcher
	restores restoreWatch
}

// NewClaimer returns a claimer that uses the table service.
func NewClaimer(tables platform.Tables) *Claimer {
	return &Claimer{tables: tables, batcher: newBatcher(tables), restores: restoreWatch{now: time.Now}}
}

// Read returns the claim for the key. It returns an error if there is none and it may have been lost.
func (c *Claimer) Read(ctx context.Context, key Key) (Record, error) {
	row, err := c.tables.Get(ctx, Table, key.row())
	if err != nil {
		return Record{}, err
	}
	c.restores.observe(row.Era)
	if row.Revision == 0 {
		return Record{}, c.restores.checkAbsent()
	}
	return decode(row)
}

// Acquire writes the holder if the claim still has the given revision. It returns the claim that is stored afterwards:
// the new one, or the one that another call wrote first. If the result of a write is lost, Acquire reads the claim and
// writes again if it has not changed. After an error a write may still take effect later, so the holder's attempt must
// not be dispatched. While claims may have been lost, Acquire returns an error and writes none.
func (c *Claimer) Acquire(ctx context.Context, key Key, holder Holder, revision platform.Revision) (Record, error) {
	if err := c.restores.checkAbsent(); err != nil {
		return c.readExisting(ctx, key, revision, err)
	}
	value, err := json.Marshal(holder)
	if err != nil {
		return Record{}, err
	}
	write := platform.Write{Table: Table, Key: key.row(), Value: value, IfRevision: revision}
	for range maxWriteAttempts {
		var result platform.WriteResult
		result, err = c.batcher.write(ctx, write)
		if err == nil {
			return c.checkWritten(result, revision)
		}
		current, readErr := c.Read(ctx, key)
		if readErr == nil && current.Revision > revision {
			return current, nil
		}
	}
	return Record{}, err
}

// checkWritten returns the claim that is stored after a write. If the answer shows that the table service was restored, the
// claim must not be used: an earlier claim of the key may have been lost.
func (c *Claimer) checkWritten(result platform.WriteResult, revision platform.Revision) (Record, error) {
	c.restores.observe(result.Row.Era)
	if result.Written {
		if err := c.restores.checkAbsent(); err != nil {
			return Record{}, err
		}
	}
	return checkRevision(result.Row, revision)
}

// readExisting returns a claim that another call has written since the given revision, or else the error.
func (c *Claimer) readExisting(ctx context.Context, key Key, revision platform.Revision, err error) (Record, error) {
	current, readErr := c.Read(ctx, key)
	if readErr == nil && revision == 0 {
		return current, nil
	}
	return Record{}, err
}

// checkRevision returns the claim that is stored after a write. A row with a lower revision than before was removed
// while it was in use, which is an error.
func checkRevision(row platform.Row, revision platform.Revision) (Record, error) {
	if row.Revision < revision {
		return Record{}, fault.New(fault.PlatformUnavailable, "the claim row was removed while it was in use", "have the platform keep claim rows for longer than callers retry with the same key")
	}
	return decode(row)
}

func decode(row platform.Row) (Record, error) {
	if row.Revision == 0 {
		return Record{}, nil
	}
	record := Record{Revision: row.Revision}
	if err := json.Unmarshal(row.Value, &record.Holder); err != nil {
		return Record{}, fault.Wrap(err, fault.PlatformUnavailable, "the claim row cannot be read", "run the same version at every entry")
	}
	return record, nil
}
