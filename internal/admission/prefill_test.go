package admission

import (
	"testing"
	"time"
)

var publishedModel = EngineModel{Step: 8870 * time.Microsecond, PerStream: 38800 * time.Nanosecond, Stride: 5, ReadPerSecond: 19100}

func TestFirstEventEstimateGrowsWithPendingTokens(t *testing.T) {
	idle := publishedModel.FirstEvent(0, 1000)
	if idle < 100*time.Millisecond || idle > 140*time.Millisecond {
		t.Errorf("a prompt of 1000 tokens at an idle engine: %v", idle)
	}
	if busy := publishedModel.FirstEvent(15, 6000); busy < 350*time.Millisecond || busy > 450*time.Millisecond {
		t.Errorf("with 5000 more tokens unread and 15 streams: %v", busy)
	}
	slow := publishedModel
	slow.Pace = 2
	if slow.FirstEvent(0, 1000) != 2*idle {
		t.Error("the pace of a slow engine does not count")
	}
	if (EngineModel{}).FirstEvent(3, 1000) != 0 {
		t.Error("an unknown engine is estimated")
	}
}

// TestSimultaneousPromptsAreLimitedByTheFirstEventBound plays the load that it answers: eight prompts at one moment.
func TestSimultaneousPromptsAreLimitedByTheFirstEventBound(t *testing.T) {
	var r Reading
	r.SetModel(publishedModel)
	var admitted []*Prompt
	for range 8 {
		if prompt, _ := r.Enter(1000, 250*time.Millisecond); prompt != nil {
			admitted = append(admitted, prompt)
		}
	}
	if len(admitted) != 3 {
		t.Errorf("%d of 8 prompts were let in within 250 ms", len(admitted))
	}
	admitted[0].Begin()
	if prompt, _ := r.Enter(1000, 250*time.Millisecond); prompt == nil {
		t.Error("no room after a prompt was read")
	}
	if prompt, _ := r.Enter(5000, 0); prompt == nil {
		t.Error("a prompt without a bound is refused")
	}
	for _, prompt := range admitted {
		prompt.End()
		prompt.Begin() // late news of an ended request
	}
	if r.pendingTokens != 6000 || r.prefilling != 2 || r.running != 2 {
		t.Errorf("%d tokens of %d prompts are unread, %d requests run", r.pendingTokens, r.prefilling, r.running)
	}
}

func TestDurationEstimateGrowsWithAnswerLength(t *testing.T) {
	short, long := publishedModel.Duration(10, 1000, 20), publishedModel.Duration(10, 1000, 200)
	if short < 300*time.Millisecond || long < 2*time.Second || long > 5*time.Second {
		t.Errorf("20 tokens take %v, 200 take %v", short, long)
	}
}
