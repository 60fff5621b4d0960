package admission

import (
	"sync"
	"time"
)

// EngineModel is the published cost of an engine's passes. A pass decodes Stride tokens of every stream that writes,
// and reads the prompts that wait beside it.
type EngineModel struct {
	Step          time.Duration // of one token of all streams together
	PerStream     time.Duration // more for each stream that writes
	Stride        int
	ReadPerSecond float64 // prompt tokens
	Pace          float64 // above 1 for an engine that is slower than published; 0 counts as 1
}

// passesUntilFirstEvent is how many passes without their reading go by until the first event of a prompt: on average half of
// the one under way, and the one that writes the event.
const passesUntilFirstEvent = 1.5

// FirstEvent estimates the time until the first event of a request when writing streams are under way and unread prompt
// tokens wait, its own included.
func (m EngineModel) FirstEvent(decoding, promptTokens int) time.Duration {
	if m.ReadPerSecond <= 0 {
		return 0
	}
	passTime := time.Duration(m.Stride) * (m.Step + time.Duration(decoding)*m.PerStream)
	prefillTime := time.Duration(float64(promptTokens) / m.ReadPerSecond * float64(time.Second))
	estimate := time.Duration(passesUntilFirstEvent*float64(passTime)) + prefillTime
	return time.Duration(float64(estimate) * max(1, m.Pace))
}

// prefillInterference is how much longer a stream takes for the prompts that an engine near its capacity reads beside it.
const prefillInterference = 1.6

// Duration estimates how long a request runs that writes the tokens beside other streams.
func (m EngineModel) Duration(decoding, promptTokens, answerTokens int) time.Duration {
	tokenTime := m.Step + time.Duration(decoding)*m.PerStream
	decodeTime := time.Duration(prefillInterference * float64(answerTokens) * float64(tokenTime) * max(1, m.Pace))
	return m.FirstEvent(decoding, promptTokens) + decodeTime
}

// Reading knows which prompts an engine has still to read. Prompts that arrive together delay one another and all
// streams that write, however few requests run. It answers the load of many callers who find the same engine the least
// loaded at the same moment. It is safe for concurrent use.
type Reading struct {
	mu            sync.Mutex
	model         EngineModel
	pendingTokens int // tokens of prompts without a first event
	prefilling    int // requests without a first event
	running       int
}

// SetModel takes over the engine's costs.
func (r *Reading) SetModel(model EngineModel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model = model
}

// Duration estimates how long a request with the prompt and the answer would run now, both in tokens.
func (r *Reading) Duration(promptTokens, answerTokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.model.Duration(r.running-r.prefilling, r.pendingTokens+promptTokens, answerTokens)
}

// SetPace takes over how slow the engine says it is.
func (r *Reading) SetPace(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.Pace = factor
}

// Enter lets a prompt in if its first event may be expected within the bound; 0 bounds nothing. Estimate is that time.
// The prompt's Begin and End must follow.
func (r *Reading) Enter(promptTokens int, bound time.Duration) (prompt *Prompt, estimate time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	estimate = r.model.FirstEvent(r.running-r.prefilling, r.pendingTokens+promptTokens)
	if bound > 0 && estimate > bound {
		return nil, estimate
	}
	r.pendingTokens += promptTokens
	r.prefilling++
	r.running++
	return &Prompt{tracker: r, tokens: promptTokens}, estimate
}

// Prompt is a prompt that was let in.
type Prompt struct {
	tracker   *Reading
	tokens    int
	prefilled bool
}

// Begin says that the first event has come: the prompt is read.
func (p *Prompt) Begin() {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.markPrefilled()
}

func (p *Prompt) markPrefilled() {
	if p.prefilled {
		return
	}
	p.prefilled = true
	p.tracker.pendingTokens -= p.tokens
	p.tracker.prefilling--
}

// End says that the request has ended, however it did.
func (p *Prompt) End() {
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.markPrefilled()
	p.tracker.running--
}
