package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovageglade/lovageglade/internal/node"
	"github.com/lovageglade/lovageglade/internal/routing"
)

// maxIndexAge is the age from which an index is rebuilt for a newer view with the same configuration. It limits the
// number of rebuilds while many records change. A view with another configuration gets a new index immediately.
const maxIndexAge = 100 * time.Millisecond

// indexCache caches the index of a recent view. It is safe for concurrent use.
type indexCache struct {
	meters  *routing.LoadMeters
	latest  atomic.Pointer[builtIndex]
	buildMu sync.Mutex
}

type builtIndex struct {
	index   *routing.Index
	builtAt time.Duration
}

// usableFor reports whether the index may still be used for the view.
func (b *builtIndex) usableFor(view *node.View, now time.Duration) bool {
	if b == nil {
		return false
	}
	if b.index.View == view {
		return true
	}
	return b.index.View.Snapshot == view.Snapshot && now-b.builtAt < maxIndexAge
}

// forView returns an index for the view. The first request that needs a new one builds it; concurrent requests wait
// for it.
func (c *indexCache) forView(view *node.View, locality routing.Locality, now time.Duration) *routing.Index {
	if built := c.latest.Load(); built.usableFor(view, now) {
		return built.index
	}
	c.buildMu.Lock()
	defer c.buildMu.Unlock()
	if built := c.latest.Load(); built.usableFor(view, now) {
		return built.index
	}
	built := &builtIndex{index: routing.BuildIndex(view, locality, c.meters), builtAt: now}
	c.latest.Store(built)
	return built.index
}
