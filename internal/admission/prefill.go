package admission

import (
	"sync"
	"time"
)

// CostModel is the published cost model of a model engine, which works in passes. Each pass decodes a number of tokens
// of every decoding stream and also processes waiting prompts (prefill).
type CostModel struct {
	BaseTokenTime          time.Duration // time per token, shared by all streams
	TokenTimePerStream     time.Duration // additional time per token for each decoding stream
	TokensPerPass          int           // tokens per stream in a pass
	PrefillTokensPerSecond float64       // prompt tokens processed per second
	PrefillPairTime        time.Duration // additional time for a million pairs of a prompt token and an earlier one
	SlowdownFactor         float64       // slowdown relative to the published costs; values below 1 count as 1
}

// passesUntilFirstEvent is the mean number of passes, without their prefill, before the first event of a prompt: half
// of the pass in progress and the one that produces the event.
const passesUntilFirstEvent = 1.5

// FirstEvent estimates the time until the first event of a request. The arguments are the number of decoding streams
// and the number of prompt tokens to process, including those of the request. It returns 0 if the costs are unknown.
func (m CostModel) FirstEvent(decoding, promptTokens int) time.Duration {
	if m.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return m.firstEvent(decoding, m.tokenReadTime(promptTokens))
}

// firstEvent is FirstEvent for prompts that take the given time to read at the published costs.
func (m CostModel) firstEvent(decoding int, readTime time.Duration) time.Duration {
	return m.slowed(time.Duration(passesUntilFirstEvent*float64(m.decodeTime(decoding))) + readTime)
}

// ReadTime returns the published time to read one prompt; 0 if the costs are unknown.
func (m CostModel) ReadTime(promptTokens int) time.Duration {
	if m.PrefillTokensPerSecond <= 0 {
		return 0
	}
	const pairsPerUnit = 1e6
	pairs := float64(promptTokens) * float64(promptTokens) / 2
	return m.tokenReadTime(promptTokens) + time.Duration(pairs/pairsPerUnit*float64(m.PrefillPairTime))
}

// Pass returns the time of a pass, which is the pause between two events of a decoding stream, if the pass reads prompts that
// take the given time at the published costs.
func (m CostModel) Pass(decoding int, readTime time.Duration) time.Duration {
	return m.slowed(m.decodeTime(decoding) + readTime)
}

// decodeTime returns the published time of a pass that reads no prompts.
func (m CostModel) decodeTime(decoding int) time.Duration {
	return time.Duration(m.TokensPerPass) * (m.BaseTokenTime + time.Duration(decoding)*m.TokenTimePerStream)
}

// tokenReadTime returns the published time to read the tokens, without that for pairs of them.
func (m CostModel) tokenReadTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / m.PrefillTokensPerSecond * float64(time.Second))
}

func (m CostModel) slowed(published time.Duration) time.Duration {
	return time.Duration(float64(published) * max(1, m.SlowdownFactor))
}

// boundFor returns the bound on the first event of a request with the demand. A gateway's bound is a share of the aim. If the
// prompt is so long that an engine without unread prompts would not meet the bound, the share is taken of the time that is
// left beside its own reading: such a prompt is to be read where little else is unread, not where the gateway has run out of
// endpoints.
func (m CostModel) boundFor(demand Demand, decoding int, bound, now time.Duration) time.Duration {
	aim := demand.FirstEventBy - now
	alone := time.Duration(passesUntilFirstEvent*float64(m.decodeTime(decoding))) + m.ReadTime(demand.PromptTokens)
	if demand.FirstEventBy == 0 || aim <= 0 || alone <= bound {
		return bound
	}
	share := min(1, float64(bound)/float64(aim))
	return alone + time.Duration(share*float64(max(0, aim-alone)))
}

// prefillInterference is the factor by which the prefill of other prompts slows down decoding on an engine near
// capacity.
const prefillInterference = 1.6

// Duration estimates the total run time of a request that produces answerTokens. The other arguments are those of
// FirstEvent.
func (m CostModel) Duration(decoding, promptTokens, answerTokens int) time.Duration {
	tokenTime := m.BaseTokenTime + time.Duration(decoding)*m.TokenTimePerStream
	decodeTime := time.Duration(prefillInterference * float64(answerTokens) * float64(tokenTime) * max(1, m.SlowdownFactor))
	return m.FirstEvent(decoding, promptTokens) + decodeTime
}

// PrefillTracker tracks the prompts that an engine has not processed yet. Simultaneous prompts delay one another and all
// decoding streams, even if few requests run. The bound on the first event keeps many callers that choose the same
// least loaded engine at the same moment from overloading it. It is safe for concurrent use.
type PrefillTracker struct {
	mu            sync.Mutex
	costs         CostModel
	pendingTokens int // prompt tokens of requests without a first event
	prefilling    int // requests without a first event
	running       int
	budget        *PromptBudget
	nextID        uint64
}

// SetCostModel sets the cost model of the engine.
func (r *PrefillTracker) SetCostModel(model CostModel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.costs = model
}

// EstimateDuration estimates how long a request would run if it started now. The sizes of its prompt and answer are in
// tokens.
func (r *PrefillTracker) EstimateDuration(promptTokens, answerTokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.costs.Duration(r.running-r.prefilling, r.pendingTokens+promptTokens, answerTokens)
}

// CostModel returns the cost model of the engine with its current slowdown.
func (r *PrefillTracker) CostModel() CostModel {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.costs
}

// SetSlowdown sets the slowdown that the engine reports.
func (r *PrefillTracker) SetSlowdown(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.costs.SlowdownFactor = factor
}

// Admit admits a prompt if the estimated time until its first event is within the bound, where 0 means no bound, and if
// the other requests still meet their aims. It returns the estimate, and a nil prompt and the limit if it refuses. The
// caller must report the end of an admitted prompt.
func (r *PrefillTracker) Admit(demand Demand, bound, now time.Duration) (prompt *Prompt, estimate time.Duration, limit PromptLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	decoding := r.running - r.prefilling
	estimate = r.costs.FirstEvent(decoding, r.pendingTokens+demand.PromptTokens)
	if bound > 0 && estimate > r.costs.boundFor(demand, decoding, bound, now) {
		return nil, estimate, BoundLimit
	}
	if r.budget == nil {
		r.budget = NewPromptBudget(func() CostModel { return r.costs })
	}
	if limit = r.budget.Limit(demand, now); limit != NoPromptLimit {
		return nil, estimate, limit
	}
	r.nextID++
	r.budget.Begin(r.nextID, demand, now)
	r.pendingTokens += demand.PromptTokens
	r.prefilling++
	r.running++
	return &Prompt{tracker: r, id: r.nextID, tokens: demand.PromptTokens}, estimate, NoPromptLimit
}

// Prompt is an admitted prompt.
type Prompt struct {
	tracker   *PrefillTracker
	id        uint64
	tokens    int
	prefilled bool
}

// RecordFirstEvent records the first event of the answer, which means that the prompt has been processed. Only the first
// call before the end of the request has an effect.
func (p *Prompt) RecordFirstEvent() {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.markPrefilled()
}

// markPrefilled removes the prompt from the pending ones, once. The caller holds the lock of the tracker.
func (p *Prompt) markPrefilled() {
	if p.prefilled {
		return
	}
	p.prefilled = true
	p.tracker.budget.FirstEvent(p.id, 0)
	p.tracker.pendingTokens -= p.tokens
	p.tracker.prefilling--
}

// Finish records the end of the request, whether or not it succeeded. It must be called once.
func (p *Prompt) Finish() {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.markPrefilled()
	p.tracker.budget.End(p.id)
	p.tracker.running--
}

// PendingTokens returns the number of prompt tokens that the engine has not processed.
func (r *PrefillTracker) PendingTokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pendingTokens
}
