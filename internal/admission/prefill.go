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
	passTime := time.Duration(m.TokensPerPass) * (m.BaseTokenTime + time.Duration(decoding)*m.TokenTimePerStream)
	prefillTime := time.Duration(float64(promptTokens) / m.PrefillTokensPerSecond * float64(time.Second))
	estimate := time.Duration(passesUntilFirstEvent*float64(passTime)) + prefillTime
	return time.Duration(float64(estimate) * max(1, m.SlowdownFactor))
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

// SetSlowdown sets the slowdown that the engine reports.
func (r *PrefillTracker) SetSlowdown(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.costs.SlowdownFactor = factor
}

// Admit admits a prompt if the estimated time until its first event is within the bound, where 0 means no bound. It
// returns the estimate, and a nil prompt if it refuses. The caller must report the end of an admitted prompt.
func (r *PrefillTracker) Admit(promptTokens int, bound time.Duration) (prompt *Prompt, estimate time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	estimate = r.costs.FirstEvent(r.running-r.prefilling, r.pendingTokens+promptTokens)
	if bound > 0 && estimate > bound {
		return nil, estimate
	}
	r.pendingTokens += promptTokens
	r.prefilling++
	r.running++
	return &Prompt{tracker: r, tokens: promptTokens}, estimate
}

// Prompt is an admitted prompt.
type Prompt struct {
	tracker   *PrefillTracker
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
	p.tracker.pendingTokens -= p.tokens
	p.tracker.prefilling--
}

// Finish records the end of the request, whether or not it succeeded. It must be called once.
func (p *Prompt) Finish() {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.markPrefilled()
	p.tracker.running--
}
