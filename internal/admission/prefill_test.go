package admission

import (
	"testing"
	"time"
)

var publishedCosts = CostModel{BaseTokenTime: 8870 * time.Microsecond, TokenTimePerStream: 38800 * time.Nanosecond, TokensPerPass: 5, PrefillTokensPerSecond: 19100}

func TestFirstEventEstimateGrowsWithPendingTokens(t *testing.T) {
	idle := publishedCosts.FirstEvent(0, 1000)
	if idle < 100*time.Millisecond || idle > 140*time.Millisecond {
		t.Errorf("the estimate for 1000 tokens at an idle engine is %v, want 100 to 140 ms", idle)
	}
	if busy := publishedCosts.FirstEvent(15, 6000); busy < 350*time.Millisecond || busy > 450*time.Millisecond {
		t.Errorf("the estimate with 5000 more pending tokens and 15 streams is %v, want 350 to 450 ms", busy)
	}
	slow := publishedCosts
	slow.SlowdownFactor = 2
	if slow.FirstEvent(0, 1000) != 2*idle {
		t.Error("the slowdown of the engine does not scale the estimate")
	}
	if (CostModel{}).FirstEvent(3, 1000) != 0 {
		t.Error("the estimate without a cost model is not 0")
	}
}

// Guards against overload of an engine by eight prompts that arrive at the same moment.
func TestSimultaneousPromptsAreLimitedByTheFirstEventBound(t *testing.T) {
	var r PrefillTracker
	r.SetCostModel(publishedCosts)
	var admitted []*Prompt
	for range 8 {
		if prompt, _, _ := r.Admit(Demand{PromptTokens: 1000}, 250*time.Millisecond, 0); prompt != nil {
			admitted = append(admitted, prompt)
		}
	}
	if len(admitted) != 3 {
		t.Errorf("admitted %d of 8 prompts with a bound of 250 ms, want 3", len(admitted))
	}
	admitted[0].RecordFirstEvent()
	if prompt, _, _ := r.Admit(Demand{PromptTokens: 1000}, 250*time.Millisecond, 0); prompt == nil {
		t.Error("a prompt is refused although another one has been processed")
	}
	if prompt, _, _ := r.Admit(Demand{PromptTokens: 5000}, 0, 0); prompt == nil {
		t.Error("a prompt without a bound is refused")
	}
	for _, prompt := range admitted {
		prompt.Finish()
		prompt.RecordFirstEvent() // a first event after the end of the request
	}
	if r.pendingTokens != 6000 || r.prefilling != 2 || r.running != 2 {
		t.Errorf("%d tokens of %d prompts are pending and %d requests run, want 6000, 2 and 2", r.pendingTokens, r.prefilling, r.running)
	}
}

func TestDurationEstimateGrowsWithAnswerLength(t *testing.T) {
	short, long := publishedCosts.Duration(10, 1000, 20), publishedCosts.Duration(10, 1000, 200)
	if short < 300*time.Millisecond || long < 2*time.Second || long > 5*time.Second {
		t.Errorf("the estimate is %v for 20 tokens and %v for 200", short, long)
	}
}
