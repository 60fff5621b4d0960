// Package granter defines the row of the platform's table service that names the granter: the one gateway that grants permissions to all,
// whatever each process's settings name.
package granter

import (
	"context"
	"encoding/json"

	"github.com/lovageglade/lovageglade/internal/platform"
)

// Table and key of the row.
const (
	Table = "grants"
	Key   = "granter"
)

// Record is the row's value.
type Record struct {
	Address   string `json:"address"`    // control address
	WrittenMs int64  `json:"written_ms"` // on the table service's clock
}

// RecordOf returns the row's value. A row that does not exist or cannot be decoded is like one that names nobody.
func RecordOf(row platform.Row) Record {
	var record Record
	if row.Revision == 0 || json.Unmarshal(row.Value, &record) != nil {
		return Record{}
	}
	return record
}

// Find returns the granter's control address as the row names it, "" if it names nobody.
func Find(ctx context.Context, tables platform.Tables) (string, error) {
	row, err := tables.Get(ctx, Table, Key)
	if err != nil {
		return "", err
	}
	return RecordOf(row).Address, nil
}
