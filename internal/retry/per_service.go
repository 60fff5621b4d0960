package retry

import (
	"sync"

	"github.com/lovageglade/lovageglade/internal/core"
)

// PerService keeps one Item for each service, so that one service's trouble is not another's. It is safe for concurrent
// use.
type PerService[Item any] struct {
	mu      sync.RWMutex
	items   map[core.Service]*Item
	newItem func() *Item
}

// NewBudgets returns full budgets.
func NewBudgets() *PerService[Budget] {
	return newPerService(func() *Budget { return NewBudget(budgetRatio, budgetMaxTokens) })
}

// NewFirstBytes returns services of which no first-byte time is known.
func NewFirstBytes() *PerService[FirstBytes] {
	return newPerService(func() *FirstBytes { return &FirstBytes{} })
}

func newPerService[Item any](newItem func() *Item) *PerService[Item] {
	return &PerService[Item]{items: make(map[core.Service]*Item), newItem: newItem}
}

// Of returns the item of the service.
func (p *PerService[Item]) Of(service core.Service) *Item {
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
