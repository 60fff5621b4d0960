package admission

import "time"

// PromptLimit tells what keeps an engine from reading a prompt now.
type PromptLimit int

// The limits on reading a prompt.
const (
	NoPromptLimit   PromptLimit = iota
	BoundLimit                  // its own first event would be later than the gateway's bound
	FirstEventLimit             // the first event of another request that is not read yet would be late
	PauseLimit                  // a pause between the events of running streams would be too long
)

// PromptBudget is the Constraint on the prompts that an engine has still to read. An engine reads them in the same passes
// in which it decodes, so a prompt delays the first events of the others that are unread and the next event of all running
// streams. The budget admits a prompt if all requests whose aims can be met without it still meet them. The aims of its own
// request are no part of that: a late answer is better than none. Requests that state no aims are admitted.
type PromptBudget struct {
	costs    func() CostModel
	requests map[uint64]*promptRecord
}

// aimShare is the share of an aim that estimates may take up. The rest is for the transport and for what the published costs
// leave out, such as the length of the contexts.
const aimShare = 0.9

func shareOfAim(aim time.Duration) time.Duration { return time.Duration(aimShare * float64(aim)) }

// promptRecord is a request that has begun.
type promptRecord struct {
	readTime     time.Duration // published time to read its prompt; 0 once its first event has been seen
	firstEventBy time.Duration
	longestPause time.Duration
	decoding     bool
}

// NewPromptBudget returns a budget for an idle engine. The function returns the engine's current cost model.
func NewPromptBudget(costs func() CostModel) *PromptBudget {
	return &PromptBudget{costs: costs, requests: make(map[uint64]*promptRecord)}
}

// Admits implements Constraint.
func (b *PromptBudget) Admits(demand Demand, now time.Duration) bool {
	return b.Limit(demand, now) == NoPromptLimit
}

// CanEverAdmit implements Constraint. An idle engine has no requests that a prompt could delay.
func (b *PromptBudget) CanEverAdmit(Demand) bool { return true }

// Begin implements Constraint.
func (b *PromptBudget) Begin(id uint64, demand Demand, now time.Duration) {
	b.requests[id] = &promptRecord{
		readTime:     b.costs().ReadTime(demand.PromptTokens),
		firstEventBy: now + shareOfAim(demand.FirstEventBy-now),
		longestPause: shareOfAim(demand.LongestPause),
	}
}

// FirstEvent implements Constraint.
func (b *PromptBudget) FirstEvent(id uint64, _ time.Duration) {
	if r := b.requests[id]; r != nil {
		r.readTime, r.decoding = 0, true
	}
}

// End implements Constraint.
func (b *PromptBudget) End(id uint64) { delete(b.requests, id) }

// Limit returns what keeps the engine from reading the request's prompt now.
func (b *PromptBudget) Limit(demand Demand, now time.Duration) PromptLimit {
	costs := b.costs()
	if demand.FirstEventBy == 0 && demand.LongestPause == 0 || costs.PrefillTokensPerSecond <= 0 {
		return NoPromptLimit
	}
	decoding, unread := b.work()
	added := costs.ReadTime(demand.PromptTokens)
	if b.delaysFirstEvent(costs, decoding, unread, added, now) {
		return FirstEventLimit
	}
	if b.lengthensPause(costs, decoding, unread, added) {
		return PauseLimit
	}
	return NoPromptLimit
}

// work returns the number of decoding streams and the published time to read the prompts that are unread.
func (b *PromptBudget) work() (decoding int, unread time.Duration) {
	for _, r := range b.requests {
		unread += r.readTime
		if r.decoding {
			decoding++
		}
	}
	return decoding, unread
}

// delaysFirstEvent reports whether the added reading makes the first event of an unread request late that would be on time
// without it.
func (b *PromptBudget) delaysFirstEvent(costs CostModel, decoding int, unread, added, now time.Duration) bool {
	without := now + costs.firstEvent(decoding, unread)
	with := now + costs.firstEvent(decoding, unread+added)
	for _, r := range b.requests {
		if !r.decoding && r.firstEventBy >= without && r.firstEventBy < with {
			return true
		}
	}
	return false
}

// lengthensPause reports whether the added reading makes the pauses of a decoding stream too long. Aims below the time of a
// pass without any reading cannot be met and are ignored.
func (b *PromptBudget) lengthensPause(costs CostModel, decoding int, unread, added time.Duration) bool {
	idle, pass := costs.Pass(decoding, 0), costs.Pass(decoding, unread+added)
	for _, r := range b.requests {
		if r.decoding && r.longestPause >= idle && r.longestPause < pass {
			return true
		}
	}
	return false
}
