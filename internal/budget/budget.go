// Package budget bounds what many readers keep together of what their peers send.
package budget

import "sync/atomic"

// AnswerShare is the share of a process's memory for parts of answers that are kept until they are whole: long heads and long events.
const AnswerShare = 1.0 / 8

// Budget counts bytes against a limit. A nil Budget has no limit. It is safe for concurrent use.
type Budget struct {
	limit int64 // bytes
	held  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Hold takes n bytes. It returns false, and takes none, if there is no room for them.
func (b *Budget) Hold(n int64) bool {
	if b == nil {
		return true
	}
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		return false
	}
	return true
}

// Release gives back n bytes.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.held.Add(-n)
	}
}

// Held returns how many bytes are taken.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// Growth is what one reader holds of a budget, beyond the bytes that it may keep in any case.
type Growth struct {
	Budget *Budget
	Free   int64 // bytes that need no room in the budget

	size int64
	held int64
}

// Resize sets what the reader keeps to size bytes. It returns false, and changes nothing, if there is no room for them.
func (g *Growth) Resize(size int64) bool {
	more := max(0, size-g.Free) - g.held
	if more > 0 && !g.Budget.Hold(more) {
		return false
	}
	if more < 0 {
		g.Budget.Release(-more)
	}
	g.size, g.held = size, g.held+more
	return true
}

// Size returns what the reader keeps, in bytes.
func (g *Growth) Size() int64 { return g.size }

// Release gives back all.
func (g *Growth) Release() { g.Resize(0) }
