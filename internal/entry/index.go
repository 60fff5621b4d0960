package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/routing"
)

// indexLife is how long an index serves after its view was replaced by one of the same configuration, so that a burst
// of records costs a bounded time. A new configuration is taken at once.
const indexLife = 100 * time.Millisecond

// indexCache holds the index of a recent view. It is safe for concurrent use.
type indexCache struct {
	meters   *routing.Meters
	latest   atomic.Pointer[builtIndex]
	building sync.Mutex
}

type builtIndex struct {
	index *routing.Index
	at    time.Duration
}

// serves tells whether the index may still be used for the view.
func (b *builtIndex) serves(view *node.View, now time.Duration) bool {
	if b == nil {
		return false
	}
	if b.index.View == view {
		return true
	}
	return b.index.View.Snapshot == view.Snapshot && now-b.at < indexLife
}

// of returns the index for the view. The first request that needs a new one builds it; requests that come meanwhile wait
// for it.
func (c *indexCache) of(view *node.View, here routing.Locality, now time.Duration) *routing.Index {
	if built := c.latest.Load(); built.serves(view, now) {
		return built.index
	}
	c.building.Lock()
	defer c.building.Unlock()
	if built := c.latest.Load(); built.serves(view, now) {
		return built.index
	}
	built := &builtIndex{index: routing.BuildIndex(view, here, c.meters), at: now}
	c.latest.Store(built)
	return built.index
}
