package follow

import (
	"time"

	"github.com/lovageglade/lovageglade/internal/fault"
)

// maxRefusalTime is how long older reads are refused. A store that still answers with them has begun its versions anew without
// a new era.
const maxRefusalTime = 10 * time.Second

// position is how far this process has read a table of the store. One goroutine uses it.
type position struct {
	newest       Cursor
	refusedSince time.Duration // when an older read was first refused since the last one that was not, on the boot clock; 0 for never
}

// advance records a read up to the cursor. It returns fault.PlatformUnavailable if an earlier read was newer: a store that has
// dropped its history may answer from a copy that lags behind.
func (p *position) advance(cursor Cursor, now time.Duration) error {
	if cursor.Era != p.newest.Era || !isLater(p.newest, cursor) {
		p.newest, p.refusedSince = cursor, 0
		return nil
	}
	if p.refusedSince == 0 {
		p.refusedSince = now
	}
	if now-p.refusedSince < maxRefusalTime {
		return fault.New(fault.PlatformUnavailable, "the store answered with an older state than before", "check the store's replicas; reads are retried")
	}
	p.newest, p.refusedSince = cursor, 0
	return nil
}
