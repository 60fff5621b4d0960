// Package platform names what the system asks of the platform, one small interface for each of its systems. The folder
// platform at the root of the repository implements them; nothing of the platform's protocols is visible outside it.
package platform

import (
	"context"

	"github.com/lovageglade/lovageglade/internal/core"
)

// Revision counts the writes of a row. 0 stands for a row that does not exist.
type Revision uint64

// Row is one row of a table.
type Row struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Write is a conditional write of one row: it takes effect only while the row's revision is IfRevision.
type Write struct {
	Table      string   `json:"table"`
	Key        string   `json:"key"`
	Value      []byte   `json:"value"`
	IfRevision Revision `json:"if_revision"`
}

// WriteResult is the result of one conditional write. A write that lost its race brings the row that stood there.
type WriteResult struct {
	Written bool `json:"written"`
	Row     Row  `json:"row"`
}

// Tables is the platform's transactional table service. An error of kind PlatformDown leaves open whether a write
// took effect: read the row back before anything follows from it.
type Tables interface {
	Get(ctx context.Context, table, key string) (Row, error)
	// Write performs independent conditional writes in one round trip; each has its own result.
	Write(ctx context.Context, writes []Write) ([]WriteResult, error)
	// Scan returns the rows of the table whose keys start with the prefix, in order of key.
	Scan(ctx context.Context, table, prefix string) ([]Row, error)
}

// Objects is the platform's object store. Objects are immutable: a name is written once.
type Objects interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, value []byte) error
}

// Hosts is the platform's host list. It lags behind the hosts.
type Hosts interface {
	ListHosts(ctx context.Context) ([]core.Host, error)
}

// Origin serves ranges of the weights that operators uploaded. Length is in bytes.
type Origin interface {
	FetchRange(ctx context.Context, object string, offset, length int64) ([]byte, error)
}
