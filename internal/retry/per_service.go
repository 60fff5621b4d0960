package retry

import (
	"sync"

	"github.com/lovageglade/lovageglade/internal/core"
)

// PerService keeps a separate Item for each service, so that the failures of one service do not affect another. It is
// safe for concurrent use.
type PerService[Item any] struct {
	mu      sync.RWMutex
	items   map[core.Service]*Item
	newItem func() *Item
}

// NewBudgets returns a set of retry budgets. Each one is full at first.
func NewBudgets() *PerService[Budget] {
	return newPerService(func() *Budget { return NewBudget(budgetRatio, budgetMaxTokens) })
}

// NewFirstByteTimes returns a set of histograms. Each one is empty at first.
func NewFirstByteTimes() *PerService[FirstByteTimes] {
	return newPerService(func() *FirstByteTimes { return &FirstByteTimes{} })
}

func newPerService[Item any](newItem func() *Item) *PerService[Item] {
	return &PerService[Item]{items: make(map[core.Service]*Item), newItem: newItem}
}

// Get returns the item of the service. It creates one for a new service.
func (p *PerService[Item]) Get(service core.Service) *Item {
	p.mu.RLock()
	item := p.items[service]
	p.mu.RUnlock()
	if item != nil {
		return item
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if item = p.items[service]; item == nil {
		item = p.newItem()
		p.items[service] = item
	}
	return item
}
