// Package platform defines the interfaces through which the system uses the platform, one for each platform service. The
// package platform at the root of the repository implements them and hides the platform's protocols.
package platform

import (
	"context"
	"time"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Revision identifies a version of a row; it grows with each write. 0 stands for a row that does not exist.
type Revision uint64

// Row is one row of a table.
type Row struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	// Era of the table service when it answered; 0 if unknown. It rises when the service is restored from a copy, which loses
	// the latest writes and assigns their revisions again. A row that does not exist has it as well.
	Era uint64 `json:"era,omitempty"`
	// ReadAt is the table service's steady clock when it answered a Get; 0 if unknown. A row that does not exist has it as well.
	ReadAt time.Duration `json:"-"`
}

// Write is a conditional write of one row. It takes effect only if the row's current revision is IfRevision.
type Write struct {
	Table      string   `json:"table"`
	Key        string   `json:"key"`
	Value      []byte   `json:"value"`
	IfRevision Revision `json:"if_revision"`
}

// WriteResult is the result of one conditional write. Row is the row as written or, after a conflict, the current row.
type WriteResult struct {
	Written bool `json:"written"`
	Row     Row  `json:"row"`
}

// Tables is the platform's transactional table service. After an error of kind PlatformUnavailable, a write may or may not
// have taken effect; the caller must read the row back before it acts on the outcome.
type Tables interface {
	// Get returns the row with the key, or a row of revision 0 if there is none.
	Get(ctx context.Context, table, key string) (Row, error)
	// Write performs conditional writes that succeed or fail independently, and returns one result for each.
	Write(ctx context.Context, writes []Write) ([]WriteResult, error)
	// Scan returns the rows of the table whose keys start with the prefix, in key order.
	Scan(ctx context.Context, table, prefix string) ([]Row, error)
}

// Objects is the platform's object store. Objects are immutable: each name is written once.
type Objects interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, value []byte) error
}

// Hosts is the platform's host list. It can be out of date.
type Hosts interface {
	ListHosts(ctx context.Context) ([]core.Host, error)
}

// Origin serves ranges of the weights that operators uploaded. Offset and length are in bytes.
type Origin interface {
	FetchRange(ctx context.Context, object string, offset, length int64) ([]byte, error)
}
