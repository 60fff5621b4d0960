// Package retry bounds how many further attempts the entry makes, so that retries stay a small share of the traffic
// when many endpoints fail at once, and says when callers and hedges may try again.
package retry

import "sync"

// The budget of each service.
const (
	budgetRatio     = 0.2 // further attempts for each first attempt
	budgetMaxTokens = 50  // further attempts that a service may save up
)

// Budget lets further attempts through as a share of first attempts. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	ratio     float64
	maxTokens float64
	tokens    float64
}

// NewBudget returns a full budget that earns share tokens with each first attempt and holds at most most tokens.
func NewBudget(ratio, maxTokens float64) *Budget {
	return &Budget{ratio: ratio, maxTokens: maxTokens, tokens: maxTokens}
}

// Earn counts a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+b.ratio)
}

// Spend tells whether a further attempt may be made, and counts it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
