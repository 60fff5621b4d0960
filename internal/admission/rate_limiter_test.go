package admission

import (
	"testing"
	"time"
)

// The bound is the platform's for an endpoint that states a rate.
func TestRateLimiterKeepsToTheRateInAnyFourSeconds(t *testing.T) {
	for _, rate := range []float64{0, 0.3, 1.4, 10, 100} {
		var limiter RateLimiter
		var sent []time.Duration
		for now := time.Millisecond; now < 20*time.Second; now += 3 * time.Millisecond {
			if now > 8*time.Second && now < 12*time.Second {
				continue // a pause saves up no more than a short burst
			}
			if _, ok := limiter.Take(rate, now); ok {
				sent = append(sent, now)
			}
		}
		for i, first := range sent {
			count := 0
			for _, at := range sent[i:] {
				if at-first < 4*time.Second {
					count++
				}
			}
			if limit := int(1.5*4*rate) + 5; count > limit {
				t.Fatalf("%v a second: %d requests in four seconds, want at most %d", rate, count, limit)
			}
		}
		if least := int(rate * 14); len(sent) < least {
			t.Errorf("%v a second: %d requests in 16 seconds, want at least %d", rate, len(sent), least)
		}
	}
}

func TestRateLimiterTellsWhenTheNextRequestMayBeSent(t *testing.T) {
	var limiter RateLimiter
	wait, ok := limiter.Take(2, time.Second)
	if ok || wait != 500*time.Millisecond {
		t.Fatalf("a request is taken in %v (%v), want 500ms", wait, ok)
	}
	if got := limiter.Wait(2, time.Second+wait); got != 0 {
		t.Errorf("%v remain after the wait", got)
	}
	if _, ok := limiter.Take(2, time.Second+wait); !ok {
		t.Error("a request is not taken after the wait")
	}
}
