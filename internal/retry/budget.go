// Package retry limits retries to a small share of the traffic, so that they do not multiply the load when many
// endpoints fail at once. It also computes Retry-After delays for refused callers and delays for hedged requests.
package retry

import "sync"

// The parameters of the retry budget of each service.
const (
	budgetRatio     = 0.2 // retries per first attempt
	budgetMaxTokens = 50  // retries that a service may accumulate
)

// Budget is a token bucket that limits retries to a share of first attempts. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	ratio     float64
	maxTokens float64
	tokens    float64
}

// NewBudget returns a full budget that gains ratio tokens with each first attempt and holds at most maxTokens.
func NewBudget(ratio, maxTokens float64) *Budget {
	return &Budget{ratio: ratio, maxTokens: maxTokens, tokens: maxTokens}
}

// Deposit adds the tokens for a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+b.ratio)
}

// Return gives a token back that was withdrawn for a retry which was not sent.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.maxTokens, b.tokens+1)
}

// TryWithdraw takes a token for a retry and returns true, or returns false if less than one token is left.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
